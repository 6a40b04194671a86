package apricotway

// bytesPerToken is the usual estimate of bytes per token for the tokenizers of large language models.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text without the model's tokenizer.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
