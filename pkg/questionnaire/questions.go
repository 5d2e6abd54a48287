package questionnaire

import "strings"

// Question is one question to the team.
type Question struct {
	// ID is the path of the answer in the answers file.
	ID string
	// Text is the question.
	Text string
	// Why is a sentence about the purpose of the answer, shown below the question.
	Why string
	// Default is the answer that an empty line selects. For a list, it is one entry in the
	// notation of Form; empty means an empty list.
	Default string
	// Form describes the line of a list entry in a dialogue. It is empty for questions with a single
	// answer.
	Form string
}

var questions = []Question{
	{ID: "team", Text: "What is your team called?",
		Why: "The name heads the configuration.", Default: "our-team"},
	{ID: "callers.requests_per_second", Text: "In the busiest minute of the year, how many requests arrive each second, over all customers?",
		Why: "Each customer gets a limit, so that one cannot take the machines from the others.", Default: "20"},
	{ID: "callers.feels_slow_after", Text: "After how long without a first word does waiting feel slow?",
		Why: "Reports count answers that start later than this.", Default: "1.4s"},
	{ID: "callers.give_up_after", Text: "After how long without a first word does nearly everybody give up?",
		Why: "Work that nobody waits for any more is not started.", Default: "30s"},
	{ID: "callers.answer_takes", Text: "How long does a long answer take from the first word to the last?",
		Why: "It tells how many requests are in progress at the same time.", Default: "10s"},
	{ID: "callers.read_along", Text: "Do people read the words while they appear?",
		Why: "If so, pauses between words are counted in reports as soon as a reader notices them.", Default: "yes"},
	{ID: "callers.retype", Text: "Do people often correct their message and send it again while the first one is still being answered?",
		Why: "If so, the newer message ends the older one and no machine works for the old one.", Default: "no"},
	{ID: "callers.from", Text: "Where are the callers, seen from your machines: same_city, same_country or abroad?",
		Why: "The way to them takes part of the time before waiting feels slow.", Default: "same_city"},
	{ID: "callers.repeat_within", Text: "How long after an order can somebody send the same order again, by mistake or because no answer came?",
		Why: "Orders are remembered for this time, so that none is carried out twice.", Default: "24h"},
	{ID: "callers.send_order_number", Text: "Can your programs send a number of their own with each order, and the same number when they repeat it?",
		Why: "If not, two orders with exactly the same content count as one.", Default: "yes"},
	{ID: "customers", Text: "Which customers or departments must not see or slow down each other?",
		Why: "Each gets its own key, its own limits and its own share of the machines. A large one gets four times the share of a small one.", Default: "main; large", Form: "name; large or small"},
	{ID: "prompts.writing", Text: "Which writing do the texts mostly use: latin, cyrillic or other?",
		Why: "It tells how many words fit into a number of bytes.", Default: "latin"},
	{ID: "prompts.longest_characters", Text: "How many characters does the longest text have that you send to a model, everything included?",
		Why: "Longer requests are refused before they use memory.", Default: "200000"},
	{ID: "prompts.kinds", Text: "Which stretches of text stand at the start of many requests? List them in their order, the most widely shared first.",
		Why:     "A machine that has read such a stretch once need not read it again if the next request with it comes to the same machine.",
		Default: "chat; instructions; everyone; weekly; 4000", Form: "kind of request; name of the stretch; everyone, group or one_person; changes never, monthly, weekly, daily, hourly or every_request; characters"},
	{ID: "models.list", Text: "Which models do you run, in which version, and on how many machines?",
		Why: "Requests are spread over these machines, and enough of them keep working during an update.", Default: "default-model; v1; 2", Form: "name; version; machines"},
	{ID: "models.load_at_once", Text: "How many machines can load a new version at the same time before loading gets slower?",
		Why: "Updates never load on more machines at once.", Default: "2"},
	{ID: "models.shared_store", Text: "Is there a store from which machines can fetch text that another machine has already read? Give its name, or none.",
		Why: "If there is one, much used text is copied instead of read again.", Default: none},
	{ID: "programs", Text: "Which other programs of yours take orders, and may each order be repeated without harm?",
		Why: "An order that may not be repeated is carried out at most once, even when a connection breaks.", Default: "", Form: "name; addresses with port, separated by commas; slowest answer; path; method; yes if it may be repeated, else no"},
	{ID: "harms.late", Text: "What does a late answer cost somebody: none, small, serious or severe?",
		Why: "The worse it is, the more a free machine counts when a request is placed.", Default: "small"},
	{ID: "harms.lost", Text: "What does a lost or cut answer cost somebody: none, small, serious or severe?",
		Why: "The worse it is, the earlier reports warn of cut answers.", Default: "small"},
	{ID: "harms.doubled", Text: "What does it cost if an order is carried out twice: none, small, serious or severe?",
		Why: "The worse it is, the earlier reports warn of orders whose outcome is not known.", Default: none},
	{ID: "harms.machine_time", Text: "Is machine time plentiful, normal or scarce?",
		Why: "The scarcer it is, the more it counts that a machine has already read the text.", Default: "normal"},
	{ID: "harms.never_twice", Text: "Which models start something by their answer that must not happen twice?",
		Why: "Requests to them run at most once, which needs one more step for each request.", Default: "", Form: "model"},
	{ID: "keys", Text: "Shall the access keys be random? Answer random, or example for a trial with public keys.",
		Why: "Random keys are shown once and stored only as a fingerprint. Example keys protect nothing.", Default: "random"},
}

// questionForPath returns the question whose answer contains the field of the answers file at path.
func questionForPath(path string) (Question, bool) {
	for _, q := range questions {
		if path == q.ID || strings.HasPrefix(path, q.ID+".") || strings.HasPrefix(path, q.ID+"[") {
			return q, true
		}
	}
	return Question{}, false
}
