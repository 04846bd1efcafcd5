package standin

// AnswerTokens returns the length in tokens of an engine's answer to a prompt,
// for the test that compares the stand-in with the model.
func AnswerTokens(model, prompt string, maximum int) int {
	return newAnswerText(model, prompt).tokens(maximum)
}
