package standin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the number of bytes of text per token; token counts are
// rounded up.
const bytesPerToken = 4

// minimumOutputTokens is the number of tokens of the hash that every answer
// begins with.
const minimumOutputTokens = 4

// tokensOf returns the number of tokens of a text.
func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// answerText is the answer of an engine. It depends only on the model and the
// prompt, so that a retried attempt gives the same answer and a checker can
// detect an answer delivered to the wrong call. It begins with the hash of both
// in 16 hexadecimal digits; each further token is a word of three letters and a
// space.
type answerText struct {
	hash uint64
}

// newAnswerText returns the answer to a prompt.
func newAnswerText(model, prompt string) answerText {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(prompt)
	return answerText{hash: digest.Sum64()}
}

// tokens returns the answer's length in tokens: the hash selects it uniformly
// from the range of a quarter of the maximum, but at least minimumOutputTokens,
// to the maximum.
func (a answerText) tokens(maximum int) int {
	if maximum <= minimumOutputTokens {
		return max(maximum, 1)
	}
	lowest := max(minimumOutputTokens, maximum/4)
	return lowest + int(a.hash%uint64(maximum-lowest+1))
}

// slice returns the text of the tokens from index from up to, but not
// including, index to.
func (a answerText) slice(from, to int) string {
	text := make([]byte, 0, (to-from)*bytesPerToken)
	head := fmt.Sprintf("%016x", a.hash)
	for token := from; token < to; token++ {
		if token < minimumOutputTokens {
			text = append(text, head[token*bytesPerToken:(token+1)*bytesPerToken]...)
			continue
		}
		text = a.appendWord(text, token)
	}
	return string(text)
}

// appendWord appends the pseudo-random word of one token.
func (a answerText) appendWord(text []byte, token int) []byte {
	mixed := (a.hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 29
	for range bytesPerToken - 1 {
		text = append(text, 'a'+byte(mixed%26))
		mixed /= 26
	}
	return append(text, ' ')
}
