#include "core/gateway/endpoint_choice.h"

#include <string.h>

/*
 * How full an engine may be planned, counting what generations have and will
 * make in the next seconds. A backup is given up before it costs a generation
 * its room. Over the plan a request is still placed, where a refusal would be
 * the alternative, up to the size at which engines preempt.
 */
#define PLANNED_FILL 0.95
#define CROWDED_FILL 1.05
#define BACKUP_FILL 0.65

/*
 * A generation moves only where there is room to spare, also if it is lost
 * otherwise: squeezed in elsewhere it makes that engine preempt others, whose
 * callers then wait for a prompt to be read again.
 */
#define RESCUE_FILL 0.7

/*
 * Weights of the score, in parts of a full engine. A busy slot slows each
 * token by 0.12 ms of about 10, memory decides about preemption: slots count
 * half. The other failure domain costs a few ms on the way, a cold endpoint
 * answers slower for some seconds.
 */
#define SLOT_WEIGHT 0.5
#define FAR_WEIGHT 0.04

/*
 * Prompts are read side by side, so a new one waits for all that its engine
 * still has to read: about 7 tokens in a ms beside running generations. With
 * 6,000 unread ones it is 0.9 s later than elsewhere, which counts as much as a
 * full engine.
 */
#define UNREAD_FULL_TOKENS 6000.0
#define COLD_WEIGHT 0.3
#define ERROR_WEIGHT 3.0

/* Of a service's endpoints one in so many is aside by others' word at most. */
#define MOST_ASIDE_PART 3

/*
 * Nodes that decide in the same moment see the same numbers. The draw spreads
 * them over endpoints that are about equal.
 */
#define DRAW_WEIGHT 0.05

static bool is_avoided(const struct endpoint_wish *wish,
		       const struct endpoint *endpoint)
{
	for (guint i = 0; wish->avoid && i < wish->avoid->len; i++) {
		if (strcmp(g_ptr_array_index(wish->avoid, i),
			   endpoint->said->id) == 0)
			return true;
	}
	return g_strcmp0(wish->avoid_also, endpoint->said->id) == 0;
}

static bool is_candidate(const struct endpoint_wish *wish,
			 const struct endpoint *endpoint)
{
	return endpoint_is_usable(endpoint) &&
	       strcmp(endpoint->said->service, wish->service) == 0 &&
	       !is_avoided(wish, endpoint);
}

static bool is_full(const struct endpoint_wish *wish,
		    const struct endpoint *endpoint)
{
	return endpoint->full_until_us > wish->now_us;
}

/* What the service's endpoints are like together, looked at once a choice. */
struct survey {
	double leaving_share; /* held where engines leave, of what stays */
	bool words_believed;  /* other nodes', of endpoints that break off */
};

/* What its requests hold there, without the copies of others. */
static double running_tokens(const struct endpoint *endpoint)
{
	const struct held held = endpoint_held(endpoint);

	if (held.requests <= 0)
		return 0;
	return (double)held.tokens * held.requests /
	       (held.requests + MAX(held.copies, 0));
}

/*
 * What generations hold on engines that leave, in parts of all memory that
 * stays. They move within a second or two, and what is given to new requests
 * meanwhile is missing then: one engine after the other refuses them and they
 * are cut off. A new request can come back, half a report can't.
 */
static double leaving_share(const struct endpoint_wish *wish, guint usable,
			    double leaving_tokens)
{
	if (!wish->engine || wish->engine->memory_tokens == 0 || usable == 0)
		return 0;
	return leaving_tokens /
	       ((double)usable * (double)wish->engine->memory_tokens);
}

/*
 * Whether other nodes are believed of endpoints that break off. Many nodes that
 * were cut off tell of all endpoints when they are back, and nothing could go
 * anywhere; where most look broken it is the ways to them that were.
 */
static bool are_words_believed(guint usable, guint aside)
{
	return aside <= MAX(usable / MOST_ASIDE_PART, 1);
}

static struct survey survey_take(const struct registry *registry,
				 const struct endpoint_wish *wish)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	guint usable = 0, aside = 0;
	double leaving_tokens = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (strcmp(endpoint->said->service, wish->service) != 0)
			continue;
		if (!endpoint_is_usable(endpoint)) {
			leaving_tokens += running_tokens(endpoint);
			continue;
		}
		usable++;
		aside += !endpoint_word_allows(&endpoint->word, wish->now_us);
	}
	return (struct survey){
		.leaving_share = leaving_share(wish, usable, leaving_tokens),
		.words_believed = are_words_believed(usable, aside),
	};
}

static bool is_sound(const struct endpoint_wish *wish,
		     const struct endpoint *endpoint,
		     const struct survey *survey)
{
	return endpoint_health_allows(&endpoint->health) &&
	       (!survey->words_believed ||
		endpoint_word_allows(&endpoint->word, wish->now_us));
}

static double slots_of(const struct endpoint_wish *wish,
		       const struct endpoint *endpoint)
{
	int32_t slots = endpoint->said->slots;

	if (slots == 0 && wish->engine)
		slots = wish->engine->slots;
	return MAX(slots, 1);
}

static double slot_load(const struct endpoint_wish *wish,
			const struct endpoint *endpoint)
{
	return endpoint_held(endpoint).requests / slots_of(wish, endpoint);
}

static double memory_load(const struct endpoint_wish *wish,
			  const struct endpoint *endpoint)
{
	if (!wish->engine || wish->engine->memory_tokens == 0)
		return 0;
	return (double)(endpoint_held(endpoint).tokens + wish->tokens) /
	       (double)wish->engine->memory_tokens;
}

static double endpoint_score(const struct endpoint_wish *wish,
			     const struct endpoint *endpoint, guint i)
{
	double score = memory_load(wish, endpoint) +
		       SLOT_WEIGHT * slot_load(wish, endpoint);
	double draw = wish->draw * (double)(i + 1);

	if (g_strcmp0(endpoint->said->failure_domain, wish->failure_domain))
		score += MAX(wish->far_weight, FAR_WEIGHT);
	if (endpoint->warm_us > wish->now_us)
		score += COLD_WEIGHT;
	score += ERROR_WEIGHT * endpoint->error_share;
	score += (double)endpoint_held(endpoint).unread_tokens /
		 UNREAD_FULL_TOKENS;
	return score + DRAW_WEIGHT * (draw - (double)(int64_t)draw);
}

static bool has_room(const struct endpoint_wish *wish,
		     const struct endpoint *endpoint, double fill)
{
	if (!wish->engine || wish->engine->slots == 0)
		return true;
	return memory_load(wish, endpoint) <= fill &&
	       slot_load(wish, endpoint) < 1;
}

static struct endpoint *choose(const struct registry *registry,
			       const struct endpoint_wish *wish,
			       const struct survey *survey, bool sound,
			       double fill)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	struct endpoint *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		double score;

		if (!is_candidate(wish, endpoint) || is_full(wish, endpoint) ||
		    (sound && !is_sound(wish, endpoint, survey)) ||
		    !has_room(wish, endpoint, fill))
			continue;
		score = endpoint_score(wish, endpoint, i);
		if (!best || score < best_score) {
			best = endpoint;
			best_score = score;
		}
	}
	return best;
}

/*
 * The endpoint with the most room; NULL: none has any. Where all that have
 * room look bad, one of them is tried: it may have recovered, and a refusal
 * would be certain.
 */
struct endpoint *endpoint_choose(const struct registry *registry,
				 const struct endpoint_wish *wish)
{
	static const struct {
		bool sound;
		double fill;
	} tries[] = {
		{true, PLANNED_FILL},
		{true, CROWDED_FILL},
		{false, PLANNED_FILL},
	};

	const struct survey survey = survey_take(registry, wish);

	for (size_t i = 0; i < G_N_ELEMENTS(tries); i++) {
		struct endpoint *endpoint =
			choose(registry, wish, &survey, tries[i].sound,
			       tries[i].fill - survey.leaving_share);

		if (endpoint)
			return endpoint;
	}
	return NULL;
}

/* An engine for a generation whose own one leaves; NULL: none is left. */
struct endpoint *endpoint_choose_rescue(const struct registry *registry,
					const struct endpoint_wish *wish)
{
	const struct survey survey = survey_take(registry, wish);

	return choose(registry, wish, &survey, true, RESCUE_FILL);
}

/*
 * An engine with room to spare for a copy of the generation; NULL: none. The
 * avoided ids hold the engine that runs it.
 */
struct endpoint *endpoint_choose_backup(const struct registry *registry,
					const struct endpoint_wish *wish)
{
	const struct survey survey = survey_take(registry, wish);

	if (!wish->engine || !wish->engine->can_back_up)
		return NULL;
	return choose(registry, wish, &survey, true, BACKUP_FILL);
}
