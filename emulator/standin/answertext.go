package standin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is how many bytes of text count as one token; a rest counts
// as one more.
const bytesPerToken = 4

// minimumOutputTokens holds the hash that every answer begins with.
const minimumOutputTokens = 4

// tokensOf counts the tokens of a text.
func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// answerText is the answer of an engine: a function of the model and the
// prompt alone, so that a second attempt gives the same answer, and so that a
// checker can tell an answer that reached another call. It begins with the
// hash of both in 16 hexadecimal digits; each further token is a word of
// three letters and a space.
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

// tokens is how long the answer is, at most the maximum: drawn evenly from the
// upper three quarters, by the hash.
func (a answerText) tokens(maximum int) int {
	if maximum <= minimumOutputTokens {
		return max(maximum, 1)
	}
	lowest := max(minimumOutputTokens, maximum/4)
	return lowest + int(a.hash%uint64(maximum-lowest+1))
}

// slice returns the text of the tokens from one up to another.
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

// appendWord appends the word of one token.
func (a answerText) appendWord(text []byte, token int) []byte {
	mixed := (a.hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 29
	for range bytesPerToken - 1 {
		text = append(text, 'a'+byte(mixed%26))
		mixed /= 26
	}
	return append(text, ' ')
}
