#include "core/gateway/wait_room.h"

#include "core/gateway/prompt_reading.h"
#include "core/gateway/retry_after.h"
#include "core/placement/wait_queue.h"

#include <string.h>

/*
 * A step of an engine with 24 running requests takes 10 ms and gives each of
 * them one token.
 */
#define ANSWER_MS_PER_TOKEN 10

/* The forecast uses what was freed within this time. */
#define FREED_SLOT_US (100 * 1000)
#define FREED_SLOTS 20

/*
 * Before this much time has been observed nothing is refused by forecast: one
 * or two reports of load are no rate.
 */
#define MIN_OBSERVED_US (500 * 1000)

/* Callers of overloaded services are told to come back within this time. */
#define MAX_RETRY_AFTER_US (30 * G_USEC_PER_SEC)

/*
 * Organisations beyond this number share one entry: names come from other nodes
 * too, and the queue keeps what it has charged to each of them.
 */
#define MAX_ORGANISATIONS 1024

/* First requests of organisations that one decision compares, for each lane. */
#define MAX_HEADS 64

struct organisation {
	struct queue_organisation *share;
	double tokens[WAIT_ROOM_RANKS]; /* waiting */
	double granted_token_s;
};

struct wait_ticket {
	struct queue_entry entry; /* must be first: the queue returns it */
	struct organisation *organisation;
	struct wait_request request; /* without its organisation's name */
	uint64_t passed_round;	     /* in which it did not fit */
	GSequenceIter *by_start;
};

struct wait_room {
	struct wait_queue *queue;
	GHashTable *organisations; /* name to struct organisation */
	GSequence *by_start;	   /* struct wait_ticket, by latest start */
	double tokens[WAIT_ROOM_RANKS];
	uint64_t round;
	int64_t unfit_tokens[QUEUE_LANES]; /* did not fit in this round */

	int64_t freed[FREED_SLOTS];
	int64_t freed_slot;	   /* of the newest figure */
	int64_t observed_since_us; /* 0: nothing was observed */
};

/* Returns an empty room, which the caller owns. */
struct wait_room *wait_room_create(void)
{
	struct wait_room *room = g_new0(struct wait_room, 1);

	room->queue = wait_queue_create();
	room->organisations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	room->by_start = g_sequence_new(g_free);
	wait_room_begin_round(room);
	return room;
}

/* Frees the room and its tickets, not their owners; NULL is allowed. */
void wait_room_destroy(struct wait_room *room)
{
	if (!room)
		return;
	wait_queue_destroy(room->queue);
	g_hash_table_unref(room->organisations);
	g_sequence_free(room->by_start);
	g_free(room);
}

static struct organisation *find_organisation(struct wait_room *room,
					      const char *name, int32_t weight)
{
	struct organisation *organisation;

	if (!g_hash_table_contains(room->organisations, name) &&
	    g_hash_table_size(room->organisations) >= MAX_ORGANISATIONS)
		name = "";
	organisation = g_hash_table_lookup(room->organisations, name);
	if (!organisation) {
		organisation = g_new0(struct organisation, 1);
		g_hash_table_insert(room->organisations, g_strdup(name),
				    organisation);
	}
	organisation->share =
		wait_queue_organisation(room->queue, name, weight);
	return organisation;
}

static void forget_old_slots(struct wait_room *room, int64_t now_us)
{
	int64_t slot = now_us / FREED_SLOT_US;

	for (int64_t i = MAX(room->freed_slot + 1, slot - FREED_SLOTS + 1);
	     i <= slot; i++)
		room->freed[i % FREED_SLOTS] = 0;
	room->freed_slot = MAX(room->freed_slot, slot);
}

/*
 * Notes that engines have freed tokens since the last call, which may be none:
 * that they freed nothing is evidence as well.
 */
void wait_room_note_freed(struct wait_room *room, int64_t tokens,
			  int64_t now_us)
{
	if (!room->observed_since_us)
		room->observed_since_us = now_us;
	forget_old_slots(room, now_us);
	room->freed[room->freed_slot % FREED_SLOTS] += tokens;
}

/* Tokens freed per us; 0: not known. */
static double freed_per_us(struct wait_room *room, int64_t now_us)
{
	/*
	 * The newest slot is not over: one engine that ends its request at its
	 * begin would raise the rate by a twentieth.
	 */
	int64_t observed_us =
		now_us - now_us % FREED_SLOT_US - room->observed_since_us;
	int64_t freed = 0;

	if (!room->observed_since_us || observed_us < MIN_OBSERVED_US)
		return 0;
	forget_old_slots(room, now_us);
	for (int64_t i = 1; i < FREED_SLOTS; i++)
		freed += room->freed[(room->freed_slot + i) % FREED_SLOTS];
	return (double)freed /
	       (double)MIN(observed_us, (FREED_SLOTS - 1) * FREED_SLOT_US);
}

/*
 * Tokens that are served before a new request of this rank: all of better
 * ranks, those of its own organisation, and as many of each other organisation
 * at most, as the shares of organisations with equal rank are fair.
 */
static double tokens_ahead(const struct wait_room *room,
			   const struct organisation *own, int32_t rank,
			   double tokens)
{
	double own_before = own->tokens[rank];
	double ahead = own_before;
	GHashTableIter iter;
	gpointer value;

	for (int32_t i = 0; i < rank; i++)
		ahead += room->tokens[i];
	if (room->tokens[rank] <= own_before)
		return ahead;
	g_hash_table_iter_init(&iter, room->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *other = value;

		if (other != own)
			ahead += MIN(other->tokens[rank],
				     (own_before + tokens) *
					     other->share->weight /
					     own->share->weight);
	}
	return ahead;
}

static int64_t retry_after_us(int64_t wait_us)
{
	return CLAMP(wait_us, RETRY_SOON_US, MAX_RETRY_AFTER_US);
}

/*
 * A request that starts later than its prompt needs gets its first event late
 * even if nothing goes wrong.
 */
static int64_t latest_start_us(const struct wait_request *request)
{
	return request->due_us - prompt_reading_us(request->prompt_tokens);
}

static void forecast_for(struct wait_room *room,
			 const struct organisation *organisation,
			 const struct wait_request *request, int64_t now_us,
			 struct wait_forecast *forecast)
{
	double tokens = (double)request->tokens;
	double rate = freed_per_us(room, now_us);
	double ahead = tokens_ahead(room, organisation, request->rank, tokens);

	*forecast = (struct wait_forecast){
		.wait_us = -1,
		.start_within_us = latest_start_us(request) - now_us,
		.tokens_ahead = ahead,
		.freed_per_s = rate * G_USEC_PER_SEC,
		.waiting = wait_room_length(room),
	};
	if (rate > 0)
		forecast->wait_us = (int64_t)MIN((ahead + tokens) / rate,
						 (double)INT32_MAX);
}

/*
 * Returns in forecast when the request would be granted if it were admitted
 * now; its rank must be below WAIT_ROOM_RANKS.
 */
void wait_room_forecast(struct wait_room *room,
			const struct wait_request *request, int64_t now_us,
			struct wait_forecast *forecast)
{
	forecast_for(
		room,
		find_organisation(room, request->organisation, request->weight),
		request, now_us, forecast);
}

static gint compare_start(gconstpointer a, gconstpointer b,
			  G_GNUC_UNUSED gpointer data)
{
	int64_t one = ((const struct wait_ticket *)a)->entry.start_by_us;
	int64_t other = ((const struct wait_ticket *)b)->entry.start_by_us;

	return one < other ? -1 : one > other;
}

static struct wait_ticket *ticket_create(struct wait_room *room,
					 struct organisation *organisation,
					 const struct wait_request *request,
					 int64_t now_us)
{
	struct wait_ticket *ticket = g_new0(struct wait_ticket, 1);

	ticket->organisation = organisation;
	ticket->request = *request;
	ticket->request.organisation = NULL;
	ticket->entry = (struct queue_entry){
		.organisation = organisation->share,
		.lane = request->is_deferrable ? QUEUE_LONG : QUEUE_SHORT,
		.priority = WAIT_ROOM_RANKS - 1 - request->rank,
		.arrival_us = now_us,
		.start_by_us = latest_start_us(request),
		.tokens = (double)request->tokens,
	};
	wait_queue_push(room->queue, &ticket->entry);
	ticket->by_start = g_sequence_insert_sorted(room->by_start, ticket,
						    compare_start, NULL);
	organisation->tokens[request->rank] += (double)request->tokens;
	room->tokens[request->rank] += (double)request->tokens;
	return ticket;
}

/*
 * Admits a request, whose rank must be below WAIT_ROOM_RANKS, and returns its
 * ticket. Returns NULL if the request would start too late, or if the room is
 * full, and sets retry_after_us to the time until there will be capacity; -1:
 * not known.
 */
struct wait_ticket *wait_room_admit(struct wait_room *room,
				    const struct wait_request *request,
				    int64_t now_us, int64_t *retry_after)
{
	struct organisation *organisation =
		find_organisation(room, request->organisation, request->weight);
	struct wait_forecast forecast;

	forecast_for(room, organisation, request, now_us, &forecast);
	if (forecast.waiting >= WAIT_ROOM_MAX_REQUESTS ||
	    MAX(forecast.wait_us, 0) > forecast.start_within_us) {
		*retry_after = forecast.wait_us < 0
				       ? -1
				       : retry_after_us(forecast.wait_us);
		return NULL;
	}
	return ticket_create(room, organisation, request, now_us);
}

/* Begins to look for requests that fit; capacity may have become free. */
void wait_room_begin_round(struct wait_room *room)
{
	room->round++;
	for (size_t i = 0; i < QUEUE_LANES; i++)
		room->unfit_tokens[i] = INT64_MAX;
}

static struct wait_ticket *next_in_lane(struct wait_room *room,
					enum queue_lane lane, int64_t now_us)
{
	struct queue_entry *heads[MAX_HEADS];
	uint32_t count =
		wait_queue_heads(room->queue, lane, now_us, heads, MAX_HEADS);

	for (uint32_t i = 0; i < count; i++) {
		struct wait_ticket *ticket = (struct wait_ticket *)heads[i];

		if (ticket->passed_round != room->round &&
		    ticket->request.tokens < room->unfit_tokens[lane])
			return ticket;
	}
	return NULL;
}

/*
 * Returns the request to try next in this round, to be granted or passed over;
 * NULL: none is left. Rank decides between the lanes, so that capacity for an
 * urgent request does not go to one that can wait.
 */
struct wait_ticket *wait_room_next(struct wait_room *room, int64_t now_us)
{
	struct wait_ticket *urgent = next_in_lane(room, QUEUE_SHORT, now_us);
	struct wait_ticket *other = next_in_lane(room, QUEUE_LONG, now_us);

	if (!urgent || !other)
		return urgent ? urgent : other;
	return other->request.rank < urgent->request.rank ? other : urgent;
}

/*
 * Notes that the request is not granted in this round. Tells nothing about
 * others: its first event would be late at the engines that have room for it.
 */
void wait_room_pass_over_one(struct wait_room *room, struct wait_ticket *ticket)
{
	ticket->passed_round = room->round;
}

/*
 * Notes that the request does not fit now. Others that hold as much are not
 * tried in this round: deferrable ones leave more memory free than others do.
 * That a restricted request does not fit tells nothing about others.
 */
void wait_room_pass_over(struct wait_room *room, struct wait_ticket *ticket)
{
	int64_t tokens = ticket->request.tokens;

	wait_room_pass_over_one(room, ticket);
	if (ticket->request.is_restricted)
		return;
	for (size_t i = ticket->entry.lane; i < QUEUE_LANES; i++)
		room->unfit_tokens[i] = MIN(room->unfit_tokens[i], tokens);
}

/* Tokens that the request will hold times the seconds that it will run. */
static double expected_cost(const struct wait_request *request)
{
	int64_t answer = MAX(request->tokens - request->prompt_tokens, 0);
	int64_t ms = prompt_reading_us(request->prompt_tokens) / 1000 +
		     answer * ANSWER_MS_PER_TOKEN;

	return (double)request->tokens * (double)ms / 1000;
}

/* Removes a request that was placed and charges it to its organisation. */
void wait_room_grant(struct wait_room *room, struct wait_ticket *ticket)
{
	double cost = expected_cost(&ticket->request);

	ticket->organisation->granted_token_s += cost;
	wait_queue_charge(room->queue, ticket->entry.organisation, cost, true);
	wait_room_withdraw(room, ticket);
}

/* Removes a request that no longer waits, and frees its ticket. */
void wait_room_withdraw(struct wait_room *room, struct wait_ticket *ticket)
{
	int32_t rank = ticket->request.rank;

	ticket->organisation->tokens[rank] -= (double)ticket->request.tokens;
	room->tokens[rank] -= (double)ticket->request.tokens;
	wait_queue_remove(room->queue, &ticket->entry);
	g_sequence_remove(ticket->by_start);
}

/* Returns the request with the earliest latest start; NULL: none waits. */
struct wait_ticket *wait_room_first(const struct wait_room *room)
{
	GSequenceIter *first = g_sequence_get_begin_iter(room->by_start);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Returns a request whose latest start has passed; NULL: none. */
struct wait_ticket *wait_room_expired(const struct wait_room *room,
				      int64_t now_us)
{
	struct wait_ticket *first = wait_room_first(room);

	return first && first->entry.start_by_us < now_us ? first : NULL;
}

/*
 * Returns the time until there will be capacity for a request like this one,
 * which waits no longer; -1: not known.
 */
int64_t wait_room_retry_after_us(struct wait_room *room,
				 const struct wait_ticket *ticket,
				 int64_t now_us)
{
	struct wait_request like = ticket->request;
	struct wait_forecast forecast;

	like.tokens = 0; /* its own are among those that wait */
	forecast_for(room, ticket->organisation, &like, now_us, &forecast);
	return forecast.wait_us < 0 ? -1 : retry_after_us(forecast.wait_us);
}

/* Number of requests that wait. */
uint32_t wait_room_length(const struct wait_room *room)
{
	return wait_queue_length(room->queue);
}

/* Returns how many tokens the engines freed per second lately; 0: not known. */
double wait_room_freed_per_s(struct wait_room *room, int64_t now_us)
{
	return freed_per_us(room, now_us) * G_USEC_PER_SEC;
}

/* Visits the requests that wait, by the time until each is refused. */
void wait_room_foreach(const struct wait_room *room, int64_t now_us,
		       wait_entry_visit visit, void *data)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(room->by_start);

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		const struct wait_ticket *ticket = g_sequence_get(iter);
		const struct wait_entry entry = {
			.organisation = ticket->organisation->share->name,
			.rank = ticket->request.rank,
			.is_deferrable = ticket->request.is_deferrable,
			.tokens = ticket->request.tokens,
			.waited_us = now_us - ticket->entry.arrival_us,
			.start_within_us = ticket->entry.start_by_us - now_us,
			.owner = ticket->request.owner,
		};

		visit(&entry, data);
	}
}

/* Visits the organisations whose requests wait or were granted, by name. */
void wait_room_foreach_share(const struct wait_room *room,
			     wait_share_visit visit, void *data)
{
	GList *names = g_list_sort(g_hash_table_get_keys(room->organisations),
				   (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next) {
		const struct organisation *organisation =
			g_hash_table_lookup(room->organisations, item->data);
		const struct wait_share share = {
			.organisation = item->data,
			.weight = organisation->share->weight,
			.waiting = organisation->share->waiting,
			.waiting_tokens =
				(int64_t)organisation->share->waiting_tokens,
			.granted_token_s = organisation->granted_token_s,
		};

		if (share.waiting > 0 || share.granted_token_s > 0)
			visit(&share, data);
	}
	g_list_free(names);
}

/* Returns what the request's owner gave when it was admitted. */
void *wait_ticket_owner(const struct wait_ticket *ticket)
{
	return ticket->request.owner;
}
