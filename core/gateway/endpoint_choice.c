#include "core/gateway/endpoint_choice.h"

#include "core/gateway/prompt_reading.h"

#include <string.h>

/*
 * Largest load of an engine, as a fraction of its memory, counting the tokens
 * that generations hold and will add in the next seconds. A request that would
 * otherwise be refused is placed above PLANNED_FILL, up to the load at which
 * engines preempt.
 */
#define PLANNED_FILL 0.95
#define MAX_FILL 1.05

/*
 * Backups have a lower limit, which falls as generations fill the memory of all
 * engines: a backup outlives a crash, but where memory is scarce, its room is
 * worth more to new generations and to those whose engine leaves.
 */
#define BACKUP_FILL 0.65
#define BACKUP_FILL_SCARCE 0.35
#define SCARCE_FROM_LOAD 0.5
#define SCARCE_AT_LOAD 0.75

/*
 * A generation moves only to an engine with spare room, even if it is lost
 * otherwise: on a fuller engine it would cause the preemption of other
 * generations, whose callers then wait while a prompt is read again.
 */
#define MOVE_FILL 0.7

/*
 * The same where new requests leave room for moves: this room is on all
 * engines.
 */
#define MOVE_FILL_RESERVED PLANNED_FILL

/*
 * Room on an engine that is smaller than a run is of no use to a move. On
 * average half a run of each engine is lost by that.
 */
#define MOVE_WASTE 0.5

/*
 * How long an entry that another endpoint answered for is passed over. It may
 * have been a start that is gone again, so it is tried from time to time.
 */
#define REPLACED_US (2 * G_USEC_PER_SEC)

/*
 * Weights of the score, as fractions of a full engine. A busy slot slows each
 * token by 0.12 ms of about 10 ms, while memory use leads to preemption, so
 * slots count half. Another failure domain adds a few ms of latency. An
 * endpoint that has just started answers more slowly for some seconds.
 */
#define SLOT_WEIGHT 0.5
#define FAR_WEIGHT 0.04

/*
 * An engine reads its prompts concurrently, so a new prompt waits for all that
 * are still unread. Beside running generations an engine reads about 7 tokens
 * per ms, so 6,000 unread tokens delay the first event by 0.9 s, which counts
 * as much as a full engine.
 */
#define UNREAD_FULL_TOKENS 6000.0
#define COLD_WEIGHT 0.3
#define ERROR_WEIGHT 3.0

/*
 * A stream whose events would come later than its route allows goes to any
 * other engine with room. The margin is for steps that also read a prompt, as
 * long as it is not known how long those take.
 */
#define PAUSE_WEIGHT 10.0
#define PAUSE_MARGIN 0.8

/*
 * Failure notices of other nodes are ignored while they put more than one
 * endpoint and more than one in this many of a service's endpoints aside.
 */
#define MAX_ASIDE_DIVISOR 3

/*
 * Nodes that decide at the same time see the same load figures. A random part
 * of the score spreads them over endpoints with about equal load.
 */
#define DRAW_WEIGHT 0.05

static bool is_avoided(const struct endpoint_criteria *criteria,
		       const struct endpoint *endpoint)
{
	for (guint i = 0; criteria->avoid && i < criteria->avoid->len; i++) {
		if (strcmp(g_ptr_array_index(criteria->avoid, i),
			   endpoint->last_registration->id) == 0)
			return true;
	}
	return g_strcmp0(criteria->avoid_id, endpoint->last_registration->id) ==
	       0;
}

static bool is_candidate(const struct endpoint_criteria *criteria,
			 const struct endpoint *endpoint)
{
	return endpoint_is_usable(endpoint) &&
	       strcmp(endpoint->last_registration->service,
		      criteria->service) == 0 &&
	       region_limits_allow(
		       &criteria->regions,
		       endpoint->last_registration->failure_domain) &&
	       !is_avoided(criteria, endpoint);
}

static bool is_full(const struct endpoint_criteria *criteria,
		    const struct endpoint *endpoint)
{
	return endpoint->full_until_us > criteria->now_us;
}

/* Whether the endpoint wants nothing from the node that sends. */
static bool is_resting(const struct endpoint_criteria *criteria,
		       const struct endpoint *endpoint)
{
	return !criteria->is_for_other &&
	       endpoint_rest_is_on(&endpoint->rest, criteria->now_us);
}

/* State of all endpoints of a service, computed once per choice. */
struct summary {
	/*
	 * Memory that generations use on leaving engines, as a fraction of that
	 * of all engines that stay. These generations move within a second or
	 * two. If new requests take the room until then, one engine after the
	 * other refuses the generations, and their streams are cut off. The
	 * caller of a new request can retry it; a generation that is half done
	 * can't be retried.
	 */
	double leaving_share;
	double running_share; /* memory of all engines that generations use */
	bool use_notices;     /* whether failure notices count */
};

/* Tokens of the requests that run there, without backup copies. */
static double running_tokens(const struct endpoint *endpoint)
{
	const struct held held = endpoint_total_load(endpoint);

	if (held.requests <= 0)
		return 0;
	return (double)held.tokens * held.requests /
	       (held.requests + MAX(held.copies, 0));
}

/* Returns tokens as a fraction of the memory of all engines that stay. */
static double memory_share(const struct endpoint_criteria *criteria,
			   guint usable, double tokens)
{
	if (!criteria->engine || criteria->engine->memory_tokens == 0 ||
	    usable == 0)
		return 0;
	return tokens /
	       ((double)usable * (double)criteria->engine->memory_tokens);
}

/*
 * Whether failure notices of other nodes count. When many nodes have been cut
 * off from the network, they send notices about all endpoints after they
 * reconnect, and no endpoint would be left. If most endpoints seem to fail, the
 * network path to them has failed.
 */
static bool are_notices_plausible(guint usable, guint aside)
{
	return aside <= MAX(usable / MAX_ASIDE_DIVISOR, 1);
}

static struct summary
service_summarise(const struct registry *registry,
		  const struct endpoint_criteria *criteria)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	guint usable = 0, aside = 0;
	double leaving_tokens = 0, running = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (strcmp(endpoint->last_registration->service,
			   criteria->service) != 0)
			continue;
		if (endpoint_is_leaving(endpoint))
			leaving_tokens += running_tokens(endpoint);
		if (!endpoint_is_usable(endpoint))
			continue;
		running += running_tokens(endpoint);
		usable++;
		aside += !endpoint_suspicion_allows(&endpoint->suspicion,
						    criteria->now_us);
	}
	return (struct summary){
		.leaving_share = memory_share(criteria, usable, leaving_tokens),
		.running_share = memory_share(criteria, usable,
					      leaving_tokens + running),
		.use_notices = are_notices_plausible(usable, aside),
	};
}

/*
 * Whether another endpoint answered at its address a moment ago: the entry is
 * of a start that has ended, and lapses soon.
 */
static bool is_replaced(const struct endpoint *endpoint, int64_t now_us)
{
	return endpoint->replaced_us &&
	       now_us - endpoint->replaced_us < REPLACED_US;
}

static bool looks_healthy(const struct endpoint_criteria *criteria,
			  const struct endpoint *endpoint,
			  const struct summary *summary)
{
	return endpoint_health_allows(&endpoint->health) &&
	       !is_replaced(endpoint, criteria->now_us) &&
	       (!summary->use_notices ||
		endpoint_suspicion_allows(&endpoint->suspicion,
					  criteria->now_us));
}

static double slot_count(const struct endpoint_criteria *criteria,
			 const struct endpoint *endpoint)
{
	int32_t slots = endpoint->last_registration->slots;

	if (slots == 0 && criteria->engine)
		slots = criteria->engine->slots;
	return MAX(slots, 1);
}

static double slot_load(const struct endpoint_criteria *criteria,
			const struct endpoint *endpoint)
{
	return endpoint_total_load(endpoint).requests /
	       slot_count(criteria, endpoint);
}

static double memory_load(const struct endpoint_criteria *criteria,
			  const struct endpoint *endpoint)
{
	if (!criteria->engine || criteria->engine->memory_tokens == 0)
		return 0;
	return (double)(endpoint_total_load(endpoint).tokens +
			criteria->tokens) /
	       (double)criteria->engine->memory_tokens;
}

static bool is_plain(const struct endpoint_criteria *criteria)
{
	return !criteria->engine || criteria->engine->slots == 0;
}

/*
 * Whether a stream's events would come later there than its route allows: those
 * beside the requests that run there, or those while the endpoint reads a
 * prompt, as it does for each request that comes after.
 */
static bool would_pause(const struct endpoint_criteria *criteria,
			const struct endpoint *endpoint, double ratio)
{
	double requests = endpoint_total_load(endpoint).requests + 1;
	double token_us = service_speed_expected_us(criteria->speed, requests);
	double tokens = criteria->engine->tokens_per_event;
	double longest_us = (double)criteria->longest_pause_us;
	double reading_us = tokens * criteria->speed->reading_us *
			    endpoint_speed_lasting_ratio(&endpoint->speed,
							 criteria->now_us);

	return criteria->longest_pause_us &&
	       (ratio * tokens * token_us > PAUSE_MARGIN * longest_us ||
		reading_us > longest_us);
}

/* How much of an endpoint its load takes, as a fraction of a usual engine. */
static double load_score(const struct endpoint_criteria *criteria,
			 const struct endpoint *endpoint)
{
	double load = memory_load(criteria, endpoint) +
		      SLOT_WEIGHT * slot_load(criteria, endpoint) +
		      (double)endpoint_total_load(endpoint).unread_tokens /
			      UNREAD_FULL_TOKENS;
	double ratio = endpoint_speed_ratio(&endpoint->speed, criteria->now_us);

	/* The time until an answer, as a fraction of the usual one. */
	if (is_plain(criteria))
		return ratio * (endpoint_total_load(endpoint).requests + 1);
	return ratio * load +
	       PAUSE_WEIGHT * would_pause(criteria, endpoint, ratio);
}

static double endpoint_score(const struct endpoint_criteria *criteria,
			     const struct endpoint *endpoint, guint i)
{
	double score = memory_load(criteria, endpoint) +
		       SLOT_WEIGHT * slot_load(criteria, endpoint);
	double draw = criteria->draw * (double)(i + 1);

	if (criteria->speed)
		score = load_score(criteria, endpoint);

	if (g_strcmp0(endpoint->last_registration->failure_domain,
		      criteria->failure_domain))
		score += MAX(criteria->other_domain_weight, FAR_WEIGHT);
	if (endpoint->warm_us > criteria->now_us)
		score += COLD_WEIGHT;
	score += ERROR_WEIGHT * endpoint->error_share;
	if (!criteria->speed)
		score += (double)endpoint_total_load(endpoint).unread_tokens /
			 UNREAD_FULL_TOKENS;
	return score + DRAW_WEIGHT * (draw - (double)(int64_t)draw);
}

static bool has_room(const struct endpoint_criteria *criteria,
		     const struct endpoint *endpoint, double fill)
{
	/* A brittle endpoint lets little wait. */
	if (is_plain(criteria))
		return !endpoint->brittle.is_limited ||
		       slot_load(criteria, endpoint) < 1;
	return memory_load(criteria, endpoint) <= fill &&
	       slot_load(criteria, endpoint) < 1;
}

/*
 * Whether the first event can come in time there, after the prompts that the
 * endpoint still reads. A request that would be late anywhere may go to any.
 */
static bool begins_in_time(const struct endpoint_criteria *criteria,
			   const struct endpoint *endpoint)
{
	int64_t unread = endpoint_total_load(endpoint).unread_tokens;
	double ratio = 1;

	if (prompt_reading_us(criteria->prompt_tokens) >=
	    criteria->begin_within_us)
		return true;
	if (criteria->speed)
		ratio = endpoint_speed_ratio(&endpoint->speed,
					     criteria->now_us);
	return ratio * (double)prompt_reading_us(criteria->prompt_tokens +
						 MAX(unread, 0)) <=
	       (double)criteria->begin_within_us;
}

static bool is_eligible(const struct endpoint_criteria *criteria,
			struct endpoint *endpoint,
			const struct summary *summary, bool healthy_only,
			double fill)
{
	return is_candidate(criteria, endpoint) &&
	       !is_full(criteria, endpoint) &&
	       !is_resting(criteria, endpoint) &&
	       (!healthy_only || looks_healthy(criteria, endpoint, summary)) &&
	       has_room(criteria, endpoint, fill) &&
	       begins_in_time(criteria, endpoint) &&
	       endpoint_rates_allow(endpoint, &criteria->rates,
				    RATE_FOR_REQUEST, criteria->now_us);
}

/*
 * How often an endpoint is compared with another one. A slow one that is drawn
 * as often as others gets too many calls, as nodes hear of its load late. In
 * virtual time, with one of seven slower by 2.5, 99 % of the answers came
 * within 293 ms without a weight, 233 ms with 1 / ratio, and 203 ms with its
 * square.
 */
static double compare_weight(const struct endpoint_criteria *criteria,
			     const struct endpoint *endpoint)
{
	double ratio = endpoint_speed_ratio(&endpoint->speed, criteria->now_us);

	return 1 / (ratio * ratio);
}

/*
 * Returns the index of a random endpoint by weight, without the one at skipped,
 * and replaces the draw by another one, which is independent of the index.
 */
static guint draw_endpoint(const struct endpoint_criteria *criteria,
			   const GPtrArray *endpoints, guint skipped,
			   double *draw)
{
	guint last = 0;
	double sum = 0, place;

	for (guint i = 0; i < endpoints->len; i++) {
		if (i != skipped)
			sum += compare_weight(criteria,
					      g_ptr_array_index(endpoints, i));
	}
	place = *draw * sum;
	for (guint i = 0; i < endpoints->len; i++) {
		double weight;

		if (i == skipped)
			continue;
		last = i;
		weight = compare_weight(criteria,
					g_ptr_array_index(endpoints, i));
		if (place < weight) {
			*draw = place / weight;
			return i;
		}
		place -= weight;
	}
	return last;
}

/*
 * Returns the better one of two random endpoints. All nodes choose the
 * endpoints of plain services for themselves: if each took the best one of all,
 * all would take the same one until they hear of its load, and then all the
 * next one.
 */
static struct endpoint *better_of_two(const struct endpoint_criteria *criteria,
				      const GPtrArray *endpoints)
{
	double draw = criteria->draw;
	guint first = draw_endpoint(criteria, endpoints, G_MAXUINT, &draw);
	struct endpoint *one = g_ptr_array_index(endpoints, first);
	struct endpoint *other;
	guint second;

	if (endpoints->len < 2)
		return one;
	second = draw_endpoint(criteria, endpoints, first, &draw);
	other = g_ptr_array_index(endpoints, second);
	return endpoint_score(criteria, other, second) <
			       endpoint_score(criteria, one, first)
		       ? other
		       : one;
}

static struct endpoint *choose_of_two(const struct registry *registry,
				      const struct endpoint_criteria *criteria,
				      const struct summary *summary,
				      bool healthy_only, double fill)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	GPtrArray *eligible = g_ptr_array_new();
	struct endpoint *chosen = NULL;

	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (is_eligible(criteria, endpoint, summary, healthy_only,
				fill))
			g_ptr_array_add(eligible, endpoint);
	}
	if (eligible->len > 0)
		chosen = better_of_two(criteria, eligible);
	g_ptr_array_unref(eligible);
	return chosen;
}

static struct endpoint *choose_best(const struct registry *registry,
				    const struct endpoint_criteria *criteria,
				    const struct summary *summary,
				    bool healthy_only, double fill)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	struct endpoint *best = NULL;
	double best_score = 0;

	if (criteria->speed && is_plain(criteria))
		return choose_of_two(registry, criteria, summary, healthy_only,
				     fill);
	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		double score;

		if (!is_eligible(criteria, endpoint, summary, healthy_only,
				 fill))
			continue;
		score = endpoint_score(criteria, endpoint, i);
		if (!best || score < best_score) {
			best = endpoint;
			best_score = score;
		}
	}
	return best;
}

/*
 * Returns the memory that runs on leaving engines of the service use, as a
 * fraction of that of all engines that stay.
 */
double endpoint_choice_leaving_share(const struct registry *registry,
				     const struct endpoint_criteria *criteria)
{
	return service_summarise(registry, criteria).leaving_share;
}

/*
 * Whether any endpoint of the service may get the request, with room or not.
 * Endpoints to avoid count.
 */
bool endpoint_choice_exists(const struct registry *registry,
			    const struct endpoint_criteria *criteria)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	struct endpoint_criteria any = *criteria;

	any.avoid = NULL;
	any.avoid_id = NULL;
	for (guint i = 0; i < endpoints->len; i++) {
		if (is_candidate(&any, g_ptr_array_index(endpoints, i)))
			return true;
	}
	return false;
}

/*
 * Whether an endpoint that may get the request has used up its limit, at this
 * node. Sets wait_us to the shortest time until one may get a request of this
 * node; -1: not known.
 */
bool endpoint_choice_is_limited(const struct registry *registry,
				const struct endpoint_criteria *criteria,
				int64_t *wait_us)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	bool is_limited = false;

	*wait_us = -1;
	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);
		int64_t own_us;

		if (!endpoint->limit.is_limited ||
		    !is_candidate(criteria, endpoint))
			continue;
		own_us = endpoint_rates_wait_us(endpoint, &criteria->rates,
						criteria->now_us);
		is_limited |= own_us != 0;
		if (own_us > 0 && (*wait_us < 0 || own_us < *wait_us))
			*wait_us = own_us;
	}
	return is_limited;
}

/*
 * Whether each endpoint that may get the request wants nothing from this node;
 * endpoints to avoid count. Sets wait_us to the time until the first rest ends.
 */
bool endpoint_choice_is_resting(const struct registry *registry,
				const struct endpoint_criteria *criteria,
				int64_t *wait_us)
{
	const GPtrArray *endpoints = registry_endpoints(registry);
	struct endpoint_criteria any = *criteria;

	any.avoid = NULL;
	any.avoid_id = NULL;
	*wait_us = INT64_MAX;
	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (!is_candidate(&any, endpoint))
			continue;
		if (!is_resting(&any, endpoint))
			return false;
		*wait_us =
			MIN(*wait_us, endpoint_rest_left_us(&endpoint->rest,
							    criteria->now_us));
	}
	return *wait_us != INT64_MAX;
}

/*
 * Returns the load up to which a new request may fill an engine. One that can
 * wait leaves room for the runs of engines that will leave, and never fills an
 * engine above the planned load.
 */
static double usable_fill(const struct endpoint_criteria *criteria,
			  const struct summary *summary, double fill)
{
	double reserved;

	if (criteria->reserved_share <= 0)
		return fill - summary->leaving_share;
	reserved = criteria->reserved_share +
		   MOVE_WASTE * (double)criteria->tokens /
			   (double)MAX(criteria->engine->memory_tokens, 1);
	return MIN(fill, PLANNED_FILL) - MAX(summary->leaving_share, reserved);
}

/*
 * Returns the endpoint with the best score among those with room, or NULL if
 * none has room. If all endpoints with room look unhealthy, one of them is
 * tried: it may have recovered, and the alternative is a certain refusal.
 * The registry owns the endpoint.
 */
struct endpoint *endpoint_choose(const struct registry *registry,
				 const struct endpoint_criteria *criteria)
{
	static const struct {
		bool healthy_only;
		double fill;
	} passes[] = {
		{true, PLANNED_FILL},
		{true, MAX_FILL},
		{false, PLANNED_FILL},
	};

	const struct summary summary = service_summarise(registry, criteria);

	for (size_t i = 0; i < G_N_ELEMENTS(passes); i++) {
		struct endpoint *endpoint = choose_best(
			registry, criteria, &summary, passes[i].healthy_only,
			usable_fill(criteria, &summary, passes[i].fill));

		if (endpoint)
			return endpoint;
	}
	return NULL;
}

/*
 * Returns an engine with spare room for a generation whose engine is leaving,
 * or NULL if there is none. The registry owns the endpoint.
 */
struct endpoint *
endpoint_choose_for_move(const struct registry *registry,
			 const struct endpoint_criteria *criteria)
{
	const struct summary summary = service_summarise(registry, criteria);
	struct endpoint_criteria any = *criteria;

	any.begin_within_us = 0;
	return choose_best(registry, &any, &summary, true,
			   criteria->gives_way ? MOVE_FILL_RESERVED
					       : MOVE_FILL);
}

/* The load up to which an engine takes backups. */
static double backup_fill(const struct summary *summary)
{
	double scarcity = (summary->running_share - SCARCE_FROM_LOAD) /
			  (SCARCE_AT_LOAD - SCARCE_FROM_LOAD);

	return BACKUP_FILL -
	       CLAMP(scarcity, 0, 1) * (BACKUP_FILL - BACKUP_FILL_SCARCE);
}

/*
 * Returns an engine with spare room for a backup copy of a generation, or NULL
 * if there is none or the engines can't keep backups. The ids to avoid must
 * include the engine that runs the generation. The registry owns the endpoint.
 */
struct endpoint *
endpoint_choose_backup(const struct registry *registry,
		       const struct endpoint_criteria *criteria)
{
	const struct summary summary = service_summarise(registry, criteria);
	struct endpoint_criteria any = *criteria;

	if (!criteria->engine || !criteria->engine->can_back_up)
		return NULL;
	any.begin_within_us = 0;
	return choose_best(registry, &any, &summary, true,
			   backup_fill(&summary));
}
