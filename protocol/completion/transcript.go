package completion

import "github.com/apricotway/apricotway"

// transcript holds the tokens of one answer. It stores their concatenated text and the end of each token, which takes a tenth of
// the memory of a slice of tokens. That matters since answers are kept for Times.Retention after their end, so that most of a
// process's answers are complete ones without a reader. The attempt that generated a token is not stored.
type transcript struct {
	text []byte
	// ends holds the offset in text at which each token ends, in non-decreasing order.
	ends []uint32
	// finish is the finish reason of the last token; empty while the answer is incomplete.
	finish apricotway.FinishReason
}

// newTranscript returns a transcript of the given tokens.
func newTranscript(texts []string, finish apricotway.FinishReason) transcript {
	t := transcript{finish: finish}
	for _, text := range texts {
		t.add(text)
	}

	return t
}

func (t *transcript) add(text string) {
	t.text = append(t.text, text...)
	t.ends = append(t.ends, uint32(len(t.text))) //nolint:gosec // Limits keep an answer below 4 GiB.
}

// append adds the next token.
func (t *transcript) append(token apricotway.Token) {
	t.add(token.Text)
	t.finish = token.Finish
}

func (t *transcript) len() int { return len(t.ends) }

// textsFrom returns the texts of the tokens from an index on. It returns none when the index is not below the length.
func (t *transcript) textsFrom(from int) []string {
	if from >= len(t.ends) {
		return nil
	}

	list := make([]string, 0, len(t.ends)-from)
	begin := uint32(0)

	if from > 0 {
		begin = t.ends[from-1]
	}

	for _, end := range t.ends[from:] {
		list = append(list, string(t.text[begin:end]))
		begin = end
	}

	return list
}

// tokensFrom returns the tokens from an index on, like textsFrom. Their Attempt field is empty.
func (t *transcript) tokensFrom(from int) []apricotway.Token {
	texts := t.textsFrom(from)
	tokens := make([]apricotway.Token, len(texts))

	for i, text := range texts {
		tokens[i] = apricotway.Token{Index: from + i, Text: text}
	}

	if len(tokens) > 0 {
		tokens[len(tokens)-1].Finish = t.finish
	}

	return tokens
}
