//go:build review

package standin

func versions(d *deployment) (held bool, err error) { return true, nil }
