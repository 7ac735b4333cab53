#include "core/gateway/endpoint_word.h"

/* Two failures so far apart have nothing to do with one another. */
#define AGREE_US (2 * G_USEC_PER_SEC)

#define FIRST_ASIDE_US (2 * G_USEC_PER_SEC)
#define LONGEST_ASIDE_US (30 * G_USEC_PER_SEC)

/* One node's word is enough so soon after the endpoint was put aside. */
#define RELAPSE_US (5 * G_USEC_PER_SEC)

static bool is_relapse(const struct endpoint_word *word, int64_t now_us)
{
	return word->aside_us > 0 && now_us - word->until_us < RELAPSE_US;
}

static bool is_agreed(const struct endpoint_word *word, uint64_t reporter,
		      int64_t now_us)
{
	return word->reporter && word->reporter != reporter &&
	       now_us - word->reported_us < AGREE_US;
}

static void put_aside(struct endpoint_word *word, int64_t now_us)
{
	word->aside_us = is_relapse(word, now_us)
				 ? MIN(2 * word->aside_us, LONGEST_ASIDE_US)
				 : FIRST_ASIDE_US;
	word->until_us = now_us + word->aside_us;
	word->reporter = 0;
}

/*
 * A node says that the endpoint has broken something off; true: it is put aside
 * now. What was sent before that and fails later says nothing new.
 */
bool endpoint_word_take(struct endpoint_word *word, uint64_t reporter,
			int64_t now_us)
{
	if (now_us < word->until_us)
		return false;
	if (is_relapse(word, now_us) || is_agreed(word, reporter, now_us)) {
		put_aside(word, now_us);
		return true;
	}
	word->reporter = reporter;
	word->reported_us = now_us;
	return false;
}

/* Whether new requests may go there. */
bool endpoint_word_allows(const struct endpoint_word *word, int64_t now_us)
{
	return now_us >= word->until_us;
}
