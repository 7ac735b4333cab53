#ifndef DAEMONS_GATEWAY_WIRING_H
#define DAEMONS_GATEWAY_WIRING_H

#include "adapters/gateway/store_calls.h"
#include "adapters/log.h"
#include "adapters/settings.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "core/membership/membership.h"
#include "ports/action.h"
#include "ports/event.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Connects the gateway to the platform's store and to the node it runs in. */
struct gateway_wiring_options {
	const struct settings *settings;
	int64_t max_connections;
	uint64_t seed;
	struct log *log;
	struct counters *counters;
	const struct membership *(*members)(void *data);
	struct peer_message *(*message)(void *data,
					enum peer_message_type type);
	/* Sends a message, which it frees, to all addresses (char *). */
	void (*send)(void *data, const GPtrArray *peer_addresses,
		     struct peer_message *message);
	/* The drain is over; in left_us the process would be killed. */
	void (*stopped)(void *data, int64_t left_us);
	void *data;
};

struct gateway_wiring;

struct gateway_wiring *
gateway_wiring_create(const struct gateway_wiring_options *options,
		      struct error *error);
struct store_calls *gateway_wiring_open_store(const struct settings *settings,
					      struct log *log, uint64_t seed,
					      const struct event_sink *sink);
void gateway_wiring_destroy(struct gateway_wiring *wiring);
void gateway_wiring_apply_config(struct gateway_wiring *wiring,
				 const struct action_config *action);
void gateway_wiring_receive_peer(struct gateway_wiring *wiring,
				 const struct peer_message *message);
void gateway_wiring_reload(struct gateway_wiring *wiring,
			   const struct settings *settings);
void gateway_wiring_answer_query(struct gateway_wiring *wiring,
				 const struct event_query *query,
				 struct action_list *actions);
void gateway_wiring_drain(struct gateway_wiring *wiring);

G_END_DECLS

#endif
