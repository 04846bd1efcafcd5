package api_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/api"
)

// TestDecodeReadsWhatIsEncoded checks that an encoded request decodes to the
// same value and passes validation.
func TestDecodeReadsWhatIsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := api.SubmitCall{
			Key:                 rapid.StringMatching(`[A-Za-z0-9._:~@=+,-]{1,128}`).Draw(t, "key"),
			Sequence:            rapid.Uint64().Draw(t, "sequence"),
			Kind:                api.CallModel,
			Model:               rapid.StringN(1, 20, 60).Draw(t, "model"),
			MaxOutputTokens:     rapid.IntRange(0, api.MaximumOutputTokens).Draw(t, "output"),
			Repeatable:          rapid.Bool().Draw(t, "repeatable"),
			Input:               rapid.String().Draw(t, "input"),
			TimeoutMilliseconds: rapid.Int64Range(0, api.MaximumMilliseconds).Draw(t, "timeout"),
			Stream:              rapid.Bool().Draw(t, "stream"),
		}
		encoded, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var read api.SubmitCall
		findings := api.Decode(encoded, &read)
		read.Validate(&findings)
		if len(findings) > 0 || read != sent {
			t.Fatalf("sent %+v, read %+v, findings %v", sent, read, findings)
		}
	})
}

// TestDecodeAgreesWithTheStandardDecoder guards against accepting invalid input:
// any input that Decode accepts must decode to the same value with
// encoding/json.
func TestDecodeAgreesWithTheStandardDecoder(t *testing.T) {
	pieces := []string{"{", "}", "[", "]", ",", ":", `"key"`, `"branch"`, `"budget_tokens"`, `"p"`, "1", "-1e9", "null", "true", " ", "\n", "\xff", `"\ud800"`}
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for _, piece := range rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(t, "pieces") {
			text += piece
		}
		if rapid.Bool().Draw(t, "wrapped") {
			text = `{"key":` + text + `}`
		}
		var read, standard api.CreateProgram
		if findings := api.Decode([]byte(text), &read); len(findings) > 0 {
			return
		}
		if err := json.Unmarshal([]byte(text), &standard); err != nil || read != standard {
			t.Fatalf("%q: read %+v, the standard decoder %+v, %v", text, read, standard, err)
		}
	})
}
