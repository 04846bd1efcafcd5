package node

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/httpclient"
)

// settingsPath is the path at which a node serves its settings to peers.
const settingsPath = "/internal/v1/settings"

// maxSettingsBytes bounds the size of a copy of the settings.
const maxSettingsBytes = 64 << 20

// fetchSettings requests a copy of a peer's settings.
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
		n.logger.Warn().Str("peer", string(action.Peer.ID)).Err(err).Msg("settings: fetching a peer's copy failed")
	}
	n.post(control.SettingsFetched{Data: data, Err: err})
}

// serveSettings sends this node's settings to a peer that cannot read the
// settings stream. The caller has checked the peer token.
func (n *Node) serveSettings(ctx *fasthttp.RequestCtx) {
	data, err := n.tree.Load().Export()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
