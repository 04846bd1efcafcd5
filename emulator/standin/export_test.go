package standin

// AnswerTokens is how long an engine's answer to a prompt is, for the test
// that compares the stand-in with the model.
func AnswerTokens(model, prompt string, maximum int) int {
	return newAnswerText(model, prompt).tokens(maximum)
}
