package node

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/httpclient"
)

// settingsPath is where a node gives its peers the settings that it holds.
const settingsPath = "/internal/v1/settings"

// maxSettingsBytes bounds a copy of the settings, in bytes.
const maxSettingsBytes = 64 << 20

// fetchSettings gets the settings that a peer holds.
func (n *Node) fetchSettings(action control.FetchSettings) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	client := httpclient.New(httpclient.Options{
		Address:          action.Peer.Address,
		Token:            n.config.PeerToken,
		Zone:             string(n.config.Control.Self.Zone),
		Timeout:          n.config.StoreTimeout,
		MaxResponseBytes: maxSettingsBytes,
	})
	defer client.Close()
	var data json.RawMessage
	err := client.Do(ctx, fasthttp.MethodGet, settingsPath, nil, &data)
	if err != nil {
		n.logger.Warn().Str("peer", string(action.Peer.ID)).Err(err).Msg("settings: a peer's copy was not had")
	}
	n.post(control.SettingsFetched{Data: data, Err: err})
}

// serveSettings answers a peer that cannot read the settings stream. The
// caller has checked the peer's token.
func (n *Node) serveSettings(ctx *fasthttp.RequestCtx) {
	data, err := n.tree.Load().Export()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
