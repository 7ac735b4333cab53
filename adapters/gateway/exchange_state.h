#ifndef ADAPTERS_GATEWAY_EXCHANGE_STATE_H
#define ADAPTERS_GATEWAY_EXCHANGE_STATE_H

#include "adapters/gateway/attempt.h"
#include "adapters/gateway/event_scanner.h"
#include "adapters/gateway/gateway_state.h"
#include "core/gateway/endpoint_choice.h"
#include "core/gateway/recovery.h"

#include <glib.h>

G_BEGIN_DECLS

/* How far a generation has got in changing its engine by itself. */
enum move_state {
	MOVE_NONE,
	MOVE_COPYING,  /* while it runs */
	MOVE_STOPPING, /* the rest, after it has stopped */
	MOVE_FAILED
};

/* One request of a caller, from its last byte to the end of its answer. */
struct exchange {
	struct gateway *gateway;
	struct caller *caller;
	struct http_head *head;
	GByteArray *body;
	struct caller_request asked;
	struct route_table *table;
	const struct route *route;
	const struct route_organisation *organisation;
	const char *service_name;
	const struct route_service *service; /* NULL: not described */
	int64_t begun_us;
	int64_t deadline_us;
	int64_t tokens; /* in memory at the expected end */

	struct attempt *attempt; /* NULL between two */
	char *endpoint_id;
	char *endpoint_address;
	char *backup_id; /* engine that keeps a copy, or NULL */
	char *backup_address;
	GPtrArray *tried; /* char *: ids */
	bool goes_on;	  /* the present attempt takes a run over */
	bool answers;	  /* the present attempt has answered */
	int32_t runs;
	int32_t sends;
	int32_t take_overs;
	int64_t sent_us;
	int64_t heard_us; /* last event of the present attempt; 0: none */

	struct endpoint_answer said;
	int32_t status;
	GString *answer_head;	 /* fields for the caller */
	GByteArray *answer_body; /* held back until it is whole */
	int64_t answer_size;	 /* -1: not said */
	bool answer_begun;	 /* the caller has a part of it */
	bool is_chunked;	 /* towards the caller */
	int64_t sent_bytes;
	struct event_scanner *events;
	int64_t last_event;
	int64_t event_count;
	int64_t first_event_us;

	enum move_state move_state;
	struct attempt *move;
	GByteArray *move_body;
	int32_t move_status;
	char *move_target_id;
	char *move_target_address;
};

/* exchange.c */
bool exchange_send(struct exchange *exchange, struct endpoint *endpoint,
		   const char *copy_address, const char *copy_name);
void exchange_fail_attempt(struct exchange *exchange,
			   enum attempt_result result, const char *detail);
void exchange_refuse(struct exchange *exchange, int32_t status,
		     int64_t retry_after_us, const char *reason);
void exchange_break(struct exchange *exchange, const char *reason);
void exchange_end(struct exchange *exchange, const char *outcome,
		  const char *reason);
void exchange_drop_attempt(struct exchange *exchange);
struct endpoint *exchange_endpoint(const struct exchange *exchange);
bool exchange_is_generation(const struct exchange *exchange);
void exchange_wish(const struct exchange *exchange, struct endpoint_wish *wish);
void exchange_choose_backup(struct exchange *exchange,
			    const struct endpoint *for_endpoint);
void exchange_clear_backup(struct exchange *exchange);
void exchange_take_over(struct exchange *exchange, const char *reason);
bool exchange_backup_is_ready(const struct exchange *exchange);

/* exchange_answer.c */
extern const struct attempt_events exchange_attempt_events;

/* exchange_move.c */
void exchange_move_step(struct exchange *exchange);
void exchange_move_clear(struct exchange *exchange);
bool exchange_move_ended(struct exchange *exchange);

G_END_DECLS

#endif
