#ifndef ADAPTERS_GATEWAY_EXCHANGE_STATE_H
#define ADAPTERS_GATEWAY_EXCHANGE_STATE_H

#include "adapters/gateway/attempt.h"
#include "adapters/gateway/copy_call.h"
#include "adapters/gateway/event_scanner.h"
#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/stop_calls.h"
#include "core/gateway/answer_limit.h"
#include "core/gateway/endpoint_choice.h"
#include "core/gateway/evacuation.h"
#include "core/gateway/known_start.h"
#include "core/gateway/recovery.h"
#include "core/gateway/retry_after.h"
#include "core/gateway/run_stop.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Weight of a move's target in another failure domain. A copy there takes twice
 * as long, on a link over which all generations of an engine leave together.
 */
#define MOVE_OTHER_DOMAIN_WEIGHT 0.3

/*
 * No requests go to a silent home for this long: membership detects a dead node
 * within 2.7 s.
 */
#define HOME_SKIP_US (2700 * 1000)

/*
 * A run that has made events for this long does not end its endpoint by what it
 * began with.
 */
#define LEG_PROVEN_US G_USEC_PER_SEC

/* Events of one answer since its speed was last observed. */
struct gap_window {
	int64_t since_us; /* first event; 0: none */
	int64_t last_us;  /* last event; 0: none */
	int32_t count;	  /* gaps between events since then */
	bool is_void;	  /* this node did not read at times */
};

/*
 * One dispatch of a request to one endpoint, with the load that this node
 * counts for it: at the endpoint, and for a copy at the backup engine.
 */
struct leg {
	struct exchange *exchange;
	struct attempt *attempt; /* NULL if it could not start */
	char *endpoint_id;
	char *endpoint_address;
	struct endpoint_start start; /* that was asked, as far as is known */
	int64_t known_us;	     /* when that start was first seen */
	char *backup_id;	     /* engine that keeps a copy, or NULL */
	char *backup_address;
	struct known_start backup_start; /* of that engine */
	struct event_scanner *events;	 /* NULL: no event stream */
	struct answer_limit limit;	 /* on the answer's body */
	struct gap_window gaps;
	int64_t tokens;	       /* counted at both engines */
	int64_t unread_tokens; /* of the prompt, not yet processed */
	int64_t sent_us;
	int64_t created_us;	  /* unlike sent_us, no pause is left out */
	int64_t begun_us;	  /* first event; 0: none yet */
	int64_t last_received_us; /* last event bytes; 0: none yet */
	int32_t status;		  /* of the endpoint; 0: no head yet */
	bool is_takeover;	  /* continues a run from a copy */
	bool is_resumed;    /* a new run, after the last event of another one */
	bool is_rerun;	    /* a new run, instead of one that was stopped */
	bool head_received; /* its head has been received */
	bool has_continued; /* a leg that follows another has sent an event */
	bool ends_by_close; /* nothing else ends its answer */
	bool is_from_backup;  /* continues a run from its backup */
	bool has_ended_empty; /* its answer, by a close before an event */
	bool was_asked_end;   /* whether it has ended the run, then */
	bool has_timed_out;   /* its connection timed out */
	bool is_proven;	      /* has gone on for LEG_PROVEN_US */
	bool is_granted;      /* counted against limits by the home */
	bool is_late;	      /* counted as not reached, while it connects */
};

/* A request to the home that waits for its answer. */
struct home_request {
	uint64_t number; /* 0: none waits */
	int64_t sent_us;
};

/* The copy of a generation's memory from a leaving engine to another one. */
struct move {
	enum evacuation_copy state;
	struct copy_call *call;
	int64_t since_us;
	char *target_id;
	char *target_address;
	struct known_start target_start; /* of that engine */
	char *handle;	  /* names the copy once it is complete */
	int64_t tokens;	  /* counted at the target */
	bool is_granted;  /* the home counted its hand-over */
	int32_t failures; /* copies that failed, for this leg */
	struct home_request home_request; /* for the target */
};

/* The engine to which another one, as it stops a run, copies all of it. */
struct last_copy {
	char *endpoint_id;	  /* NULL: none */
	struct known_start start; /* of that engine */
	bool is_complete;	  /* and no leg has been sent to it */
};

/* What an engine that has stopped a run keeps of it. */
struct kept_run {
	char *endpoint_id; /* NULL: nothing is kept */
	char *endpoint_address;
	struct known_start start; /* of that engine */
	char *handle;		  /* NULL: not known, or not yet */
	int64_t stopped_us;	  /* it ran until then, or longer; 0: it runs */
	bool was_turned_away;	  /* as the engine rested; it is kept on */
	struct last_copy last_copy; /* under the same handle */
};

/*
 * A run that leaves its engine. The engine stops it, and only then another one
 * continues it; if that one refuses, the run returns to what its engine keeps.
 */
struct handover {
	struct run_stop stop;
	struct stop_calls *calls; /* ask engines to stop runs; NULL: none did */
	struct attempt *free_call; /* frees what it keeps, or NULL */
	struct kept_run kept;
	const char *reason;   /* for logs */
	int64_t begun_us;     /* no pause of this process is left out */
	int64_t again_us;     /* the engine is not asked again before */
	bool is_paid;	      /* a retry was taken for it */
	int32_t returns;      /* of the run to an engine that had stopped it */
	bool backup_refused;  /* the backup's engine has no room */
	bool asked_last_copy; /* the leg goes on from the last copy */
	bool is_in_doubt;     /* the run before may have ended whole */
	bool lacks_copy;      /* its copy, which would tell, was missing */

	bool waits_for_handle; /* or for the end of a rest; see result */
	enum attempt_result result;
	char detail[192];
};

/* A caller's request, from its last byte received to the end of its answer. */
struct exchange {
	struct gateway *gateway;
	struct caller *caller;
	struct http_head *head;
	GByteArray *body;
	struct memory_grant *grant; /* of head and body, or NULL */
	struct caller_request parsed_request;
	struct route_table *table;
	const struct route *route;
	const struct config_organisation *organisation;
	const char *service_name;
	const struct config_service *service; /* NULL: not described */
	int64_t begun_us;
	int64_t deadline_us;
	int64_t expected_tokens; /* of the answer; 0: no generation */

	struct home_request home_request; /* for an engine */
	char *asked_home;	/* name of the one asked last; NULL: none yet */
	int32_t homes_asked;	/* for this request, one after another */
	char *home_backup_id;	/* from the home, for the next leg */
	bool is_granted;	/* the home granted the next leg */
	struct waiter *waiter;	/* waits for an engine, or NULL */
	int64_t waits_since_us; /* 0: it never waited */

	struct leg *leg;  /* NULL between two dispatches */
	struct leg *next; /* got a late request as well, or NULL */
	struct move move;
	struct handover handover;
	GPtrArray *avoided_ids; /* char *: ids of endpoints to avoid */
	struct relay *relay;	/* at another node instead of a leg, or NULL */
	GPtrArray *avoided_nodes; /* char *: nodes it was passed on to */
	bool is_relayed;	  /* another node passes it on to this one */
	int32_t max_attempts;	  /* runs that this node may begin */
	int32_t runs;
	int32_t sends;
	int32_t arrivals; /* of sends that are over */
	int32_t take_overs;
	int32_t crashes;      /* engines that failed while running it */
	uint64_t fingerprint; /* the same when the request is repeated */
	struct suspect_list suspects;
	struct admission admission; /* by quarantine, when last asked */

	struct endpoint_answer said;
	int32_t status;
	GString *answer_head;	   /* fields for the caller */
	GByteArray *answer_body;   /* buffered until it is complete */
	size_t held_bytes;	   /* of it, counted in the answers' memory */
	GByteArray *joined_events; /* to be sent together; NULL: at once */
	int64_t answer_size;	   /* -1: unknown */
	bool answer_begun;	   /* a part was sent to the caller */
	bool is_chunked;	   /* towards the caller */
	int64_t last_event;
	int64_t event_count;
	int64_t first_event_us;
	int64_t forwarded_us; /* last event sent to the caller */
	int64_t longest_pause_us;
};

/* leg.c */
int64_t exchange_max_other_bytes(const struct exchange *exchange);
struct leg *leg_create(struct exchange *exchange, struct endpoint *endpoint,
		       const char *copy_address);
void leg_destroy(struct leg *leg);
bool leg_send(struct leg *leg, const char *copy_address, const char *copy_name,
	      struct error *error);
struct endpoint *leg_endpoint(const struct leg *leg);
struct endpoint *leg_backup(const struct leg *leg);
void leg_mark_prompt_read(struct leg *leg);
void leg_set_tokens(struct leg *leg, int64_t tokens);
int64_t exchange_held_tokens(const struct exchange *exchange);

/* exchange.c */
void exchange_refuse(struct exchange *exchange, int32_t status,
		     int64_t retry_after_us, const char *reason);
void exchange_abort(struct exchange *exchange, const char *reason);
void exchange_end(struct exchange *exchange, const char *outcome,
		  const char *reason);
int64_t exchange_retry_after_us(const struct exchange *exchange);
void exchange_note_times(const struct exchange *exchange);
bool exchange_is_resting(const struct exchange *exchange, int64_t *wait_us);
bool exchange_is_deferrable(const struct exchange *exchange);
int64_t exchange_first_event_due_us(const struct exchange *exchange);
bool exchange_is_generation(const struct exchange *exchange);
bool exchange_is_admitted(struct exchange *exchange);
void exchange_fill_criteria(const struct exchange *exchange,
			    struct endpoint_criteria *criteria);
void exchange_send_new(struct exchange *exchange);
void exchange_send_local_choice(struct exchange *exchange);
void exchange_send_here(struct exchange *exchange);
bool exchange_asks_other_home(struct exchange *exchange);
void exchange_send_or_refuse(struct exchange *exchange,
			     struct endpoint *endpoint);
bool exchange_wants_backup(const struct exchange *exchange);

/* gateway_home.c */
bool exchange_request_home(struct exchange *exchange);
bool exchange_request_limited(struct exchange *exchange);
bool exchange_request_move_target(struct exchange *exchange);
void exchange_cancel_home_request(struct exchange *exchange,
				  struct home_request *request);
bool exchange_home_timed_out(struct exchange *exchange,
			     struct home_request *request);
const struct member *exchange_find_home(const struct exchange *exchange);
void exchange_fill_run(struct exchange *exchange, struct peer_choose *choose,
		       const struct member *home);

/* gateway_waiting.c */
bool exchange_wait(struct exchange *exchange);
void exchange_stop_waiting(struct exchange *exchange);
void exchange_excuse_waiting(struct exchange *exchange, int64_t paused_us);

/* gateway_speed.c */
void gateway_speed_note_event(struct leg *leg);
void gateway_speed_note_held(struct leg *leg);
void gateway_speed_note_complete(const struct leg *leg);
int64_t exchange_pause_bound_us(const struct exchange *exchange);

/* exchange_recover.c */
void leg_describe_run(const struct leg *leg, struct lost_run *run);
void leg_count_failure(const struct leg *leg, enum attempt_result result);
void exchange_fail_leg(struct exchange *exchange, enum attempt_result result,
		       const char *detail);
bool exchange_may_hand_over(struct exchange *exchange,
			    const struct endpoint *to);
void exchange_log_released(const struct exchange *exchange, const char *to,
			   const char *reason, int64_t asked_us,
			   const char *stopped_by);
bool exchange_has_copy(const struct exchange *exchange);
void exchange_continue(struct exchange *exchange);
void exchange_recover(struct exchange *exchange, enum attempt_result result,
		      const char *detail);
void exchange_stop_and_recover(struct exchange *exchange,
			       enum attempt_result result, const char *detail);
void exchange_promote_next(struct exchange *exchange, const char *reason);
void exchange_drop_next(struct exchange *exchange, const char *reason);

/* exchange_relay.c */
bool exchange_wants_relay(const struct exchange *exchange);
bool exchange_relay(struct exchange *exchange);
void exchange_step_relay(struct exchange *exchange);
struct attempt *exchange_attempt(const struct exchange *exchange);
void relay_destroy(struct relay *relay);

/* exchange_answer.c */
void exchange_store_head(struct exchange *exchange,
			 const struct http_head *head,
			 const char *const *excluded);
void exchange_begin_unsized(struct exchange *exchange);
bool exchange_may_have_body(const struct exchange *exchange, int32_t status);
bool exchange_accepts_stated_size(const struct exchange *exchange,
				  const struct http_head *head,
				  struct answer_limit *limit);
bool exchange_has_other_endpoint(const struct exchange *exchange);
void exchange_clear_body(struct exchange *exchange);
void exchange_receive_body(struct exchange *exchange, const char *bytes,
			   size_t size);
void exchange_finish_answer(struct exchange *exchange);
void exchange_complete(struct exchange *exchange);
void leg_complete(struct leg *leg);
extern const struct attempt_events exchange_attempt_events;
bool exchange_event_is_known(const struct exchange *exchange, int64_t id);
bool exchange_event_is_due(struct exchange *exchange, int64_t id);
bool exchange_feed_events(struct exchange *exchange,
			  struct event_scanner *scanner, const char *bytes,
			  size_t size);
bool exchange_on_event(void *data, const char *bytes, size_t size, int64_t id);

/* exchange_move.c */
void exchange_move_begin(struct exchange *exchange);
void exchange_move_apply_target(struct exchange *exchange,
				const char *endpoint_id);
void exchange_move_continue(struct exchange *exchange);
void exchange_move_fail(struct exchange *exchange, const char *reason);
struct endpoint *exchange_move_target(const struct exchange *exchange);
void exchange_move_clear(struct exchange *exchange);
bool exchange_is_stopping(const struct exchange *exchange);
bool exchange_is_handed_over(const struct exchange *exchange);
void exchange_begin_handover(struct exchange *exchange,
			     enum run_stop_cause cause, struct endpoint *to,
			     const char *reason);
void exchange_apply_stop(struct exchange *exchange, enum run_stop_event event);
bool exchange_may_be_stopped(const struct exchange *exchange);
bool exchange_stop_may_end(const struct exchange *exchange);
void exchange_end_by_close(struct exchange *exchange);
void exchange_note_events(struct exchange *exchange);
void exchange_begin_run(struct exchange *exchange);
bool exchange_settle_doubt(struct exchange *exchange,
			   enum attempt_result result);
bool exchange_settle_empty(struct exchange *exchange,
			   enum attempt_result result, const char *detail);
void exchange_step_handover(struct exchange *exchange);
void exchange_wait_for_handle(struct exchange *exchange,
			      enum attempt_result result, const char *detail);
struct endpoint *exchange_copy_at(const struct exchange *exchange);
struct endpoint *exchange_backup_engine(const struct exchange *exchange);
struct endpoint *exchange_backup_at(const struct exchange *exchange);
struct endpoint *exchange_kept_at(const struct exchange *exchange);
struct endpoint *exchange_last_copy_at(const struct exchange *exchange);
bool exchange_needs_kept(const struct exchange *exchange);
bool exchange_rest_is_brief(const struct exchange *exchange,
			    const struct endpoint *endpoint);
bool exchange_kept_rests(const struct exchange *exchange);
bool exchange_may_return(const struct exchange *exchange);
void exchange_end_handover(struct exchange *exchange);
bool exchange_may_stop(const struct exchange *exchange);
void handover_clear(struct handover *handover);

G_END_DECLS

#endif
