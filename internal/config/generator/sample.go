package generator

// Tokens whose digests are in the sample questionnaires. They are used only with
// emulated platforms in tests and demonstrations.
const (
	SampleAkademiaToken    = "akademia-sample-token"
	SampleAssociationToken = "association-sample-token"
)

// SampleAkademia is a questionnaire with possible answers of the Akademia.
const SampleAkademia = `[trade]
name = Wislana Akademia Czytania z Ust
domains = warszawa-a, warszawa-b, radom
services = materialy-zajec
largest = 730
resubmit = 15m
clocks = 2s

[caller akademia]
digest = 41a54605c034201f6ecb225d3e66de080ca1ad8da7049b0398189b80643fd920
operator = yes
at_once = 0

[work word]
patience = 4s
late = harmful
lost = costly
doubled = none

[work sentence]
patience = 6s
late = costly
lost = costly
doubled = none

[work exercise]
patience = 10s
late = annoying
lost = harmful
doubled = none

[work marking]
patience = 10s
late = annoying
lost = harmful
doubled = harmful
`

// SampleAssociation is a questionnaire with possible answers of the association.
const SampleAssociation = `[trade]
name = Jumuiya ya Wajenzi wa Misingi Kenya
domains = ruaraka, embakasi, kikuyu, athi
services = order-desk
largest = 730
resubmit = 15m
clocks = 2s

[caller association]
digest = 3efa8e4efbead7d6d5e5fc01a5d63a0228647a297c58add896532a195f329cd4
operator = yes
at_once = 0

[work price-check]
patience = 3s
late = annoying
lost = annoying
doubled = none

[work quote]
patience = 6s
late = costly
lost = costly
doubled = none

[work booking]
patience = 10s
late = costly
lost = harmful
doubled = harmful
`
