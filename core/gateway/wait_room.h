#ifndef CORE_GATEWAY_WAIT_ROOM_H
#define CORE_GATEWAY_WAIT_ROOM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Generations of one service that wait until an engine has capacity. A request
 * is admitted while its first event can still be on time according to the
 * forecast, which is the tokens of the requests ahead of it divided by the
 * tokens that the engines freed per second lately. core/placement/wait_queue
 * gives the order. Requests that give way to others are in a lane of their own,
 * so an urgent request never waits behind one of them that does not fit.
 *
 * The room decides the order and the refusals; its user knows which request
 * fits at this moment, and grants.
 */
enum { WAIT_ROOM_MAX_REQUESTS = 1024, WAIT_ROOM_RANKS = 10 };

struct wait_request {
	const char *organisation; /* "": none */
	int32_t weight;		  /* of the organisation */
	int32_t rank;		  /* 0 is the most urgent */
	bool is_deferrable;	  /* gives way to other requests */
	bool is_restricted;	  /* may not run at each engine */
	int64_t tokens;		  /* held in memory at the expected end */
	int64_t prompt_tokens;
	int64_t due_us; /* of the first event */
	void *owner;
};

/* What decides whether a request may wait. */
struct wait_forecast {
	int64_t wait_us;	 /* until it is granted; -1: not known */
	int64_t start_within_us; /* the longest that it can wait */
	double tokens_ahead;	 /* of requests that are served before it */
	double freed_per_s;	 /* tokens, lately; 0: not known */
	uint32_t waiting;
};

/* A request that waits, as operators see it. */
struct wait_entry {
	const char *organisation; /* "": none */
	int32_t rank;
	bool is_deferrable;
	int64_t tokens;
	int64_t waited_us;
	int64_t start_within_us; /* time until it is refused */
	void *owner;
};

/* What an organisation has got of those that wait or waited. */
struct wait_share {
	const char *organisation;
	int32_t weight;
	uint32_t waiting;
	int64_t waiting_tokens;
	double granted_token_s; /* tokens times the seconds that they were
				   expected to be held */
};

typedef void (*wait_entry_visit)(const struct wait_entry *entry, void *data);
typedef void (*wait_share_visit)(const struct wait_share *share, void *data);

struct wait_room;
struct wait_ticket; /* a request that waits; the room owns it */

struct wait_room *wait_room_create(void);
void wait_room_destroy(struct wait_room *room);
void wait_room_forecast(struct wait_room *room,
			const struct wait_request *request, int64_t now_us,
			struct wait_forecast *forecast);
struct wait_ticket *wait_room_admit(struct wait_room *room,
				    const struct wait_request *request,
				    int64_t now_us, int64_t *retry_after_us);
void wait_room_begin_round(struct wait_room *room);
struct wait_ticket *wait_room_next(struct wait_room *room, int64_t now_us);
void wait_room_pass_over(struct wait_room *room, struct wait_ticket *ticket);
void wait_room_pass_over_one(struct wait_room *room,
			     struct wait_ticket *ticket);
void wait_room_grant(struct wait_room *room, struct wait_ticket *ticket);
void wait_room_withdraw(struct wait_room *room, struct wait_ticket *ticket);
struct wait_ticket *wait_room_expired(const struct wait_room *room,
				      int64_t now_us);
struct wait_ticket *wait_room_first(const struct wait_room *room);
void wait_room_note_freed(struct wait_room *room, int64_t tokens,
			  int64_t now_us);
int64_t wait_room_retry_after_us(struct wait_room *room,
				 const struct wait_ticket *ticket,
				 int64_t now_us);
uint32_t wait_room_length(const struct wait_room *room);
double wait_room_freed_per_s(struct wait_room *room, int64_t now_us);
void wait_room_foreach(const struct wait_room *room, int64_t now_us,
		       wait_entry_visit visit, void *data);
void wait_room_foreach_share(const struct wait_room *room,
			     wait_share_visit visit, void *data);
void *wait_ticket_owner(const struct wait_ticket *ticket);

G_END_DECLS

#endif
