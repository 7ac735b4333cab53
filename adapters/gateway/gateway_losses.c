#include "adapters/gateway/gateway_state.h"
#include "core/limit/quarantine_query.h"
#include "core/placement/home.h"

#include <inttypes.h>

/*
 * Quarantine of requests under which endpoints end, and its exchange with the
 * other nodes: such a request may come again at any node.
 */

/* As many losses fit into one datagram; with more, each record has others. */
#define LOSSES_PER_RECORD 28

/* Losses that are announced at once; gossip tells of further ones. */
#define MAX_ANNOUNCED (8 * LOSSES_PER_RECORD)

static const struct gossip_schedule schedule = {
	.fresh_us = 3 * G_USEC_PER_SEC,
	.fresh_period_us = 100 * 1000,
	.fresh_receivers = 3,
	.stale_period_us = G_USEC_PER_SEC,
};

/* To be called once, before any other function here. */
void gateway_losses_init(struct gateway *gateway)
{
	struct quarantine_options options;

	quarantine_options_default(&options);
	gateway->quarantine = quarantine_create(&options);
}

/* Returns the start of the endpoint that runs now, as far as is known. */
struct endpoint_start gateway_losses_start(const struct gateway *gateway,
					   const struct endpoint *endpoint)
{
	struct endpoint_start start =
		quarantine_current_start(gateway->quarantine, endpoint->key);

	start.born_ms = endpoint->last_registration->started_ms;
	return start;
}

/*
 * Whether the endpoint has not ended since that start was current, as far as is
 * known. Copies that it kept are gone otherwise.
 */
bool gateway_losses_is_current(const struct gateway *gateway,
			       const struct endpoint *endpoint,
			       const struct endpoint_start *start)
{
	const struct endpoint_start current =
		gateway_losses_start(gateway, endpoint);

	return endpoint_start_compare(start, &current) == START_SAME;
}

/* Records that the endpoint broke off a run. */
void gateway_losses_note(struct gateway *gateway,
			 const struct quarantine_run *run,
			 const struct endpoint *endpoint)
{
	quarantine_report_loss(gateway->quarantine, run, gateway->now_us);
	gateway_ends_watch(gateway, endpoint, &run->start);
}

static void log_refuted(const struct gateway *gateway,
			const struct endpoint *endpoint, int32_t status)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%d", status);
	log_write(gateway->log, LOG_LEVEL_INFO, "loss_refuted", "endpoint",
		  endpoint->last_registration->id, "address",
		  endpoint->last_registration->address, "status", text, NULL);
}

/* Records that the endpoint answers, with that status. */
void gateway_losses_note_answer(struct gateway *gateway,
				const struct endpoint *endpoint,
				const struct quarantine_answer *answer,
				int32_t status)
{
	gateway_ends_note_heard(gateway, endpoint);
	if (quarantine_report_answer(gateway->quarantine, answer,
				     gateway->now_us))
		log_refuted(gateway, endpoint, status);
}

/* Logs what quarantine now says of a request. */
static void log_request(const struct gateway *gateway, uint64_t fingerprint,
			const char *source)
{
	int64_t until_us = quarantine_until_us(gateway->quarantine, fingerprint,
					       gateway->now_us);
	bool is_suspect = quarantine_is_suspect(gateway->quarantine,
						fingerprint, gateway->now_us);
	char name[17], seconds[24];

	g_snprintf(name, sizeof(name), "%016" PRIx64, fingerprint);
	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
		   until_us ? (until_us - gateway->now_us) / G_USEC_PER_SEC
			    : 0);
	log_write(gateway->log, until_us ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
		  until_us     ? "request_held"
		  : is_suspect ? "request_suspected"
			       : "request_released",
		  "fingerprint", name, "for_s", seconds, "source", source,
		  NULL);
}

static struct peer_message *create_message(struct gateway *gateway)
{
	return gateway->host.message(gateway->host.data, PEER_LOSSES);
}

/* Sends news to all nodes and logs them, one line a request. */
static void announce_news(struct gateway *gateway)
{
	GArray *news = g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
	uint64_t logged = 0;

	quarantine_take_news(gateway->quarantine, news, gateway->now_us);
	if (news->len > 0)
		gateway->losses_pace.changed_us = gateway->now_us;
	for (guint i = 0; i < news->len; i++) {
		const struct peer_loss *loss =
			&g_array_index(news, struct peer_loss, i);

		if (loss->fingerprint != logged)
			log_request(gateway, loss->fingerprint, "this node");
		logged = loss->fingerprint;
	}
	for (guint i = 0; i < MIN(news->len, MAX_ANNOUNCED);
	     i += LOSSES_PER_RECORD) {
		struct peer_message *message = create_message(gateway);

		g_array_append_vals(message->losses.losses,
				    &g_array_index(news, struct peer_loss, i),
				    MIN(news->len - i, LOSSES_PER_RECORD));
		gateway_send_to_all(gateway, message);
	}
	g_array_unref(news);
}

/* Sends losses that this node knows to others, if it knows any. */
static void send_known(struct gateway *gateway, GPtrArray *addresses)
{
	struct peer_message *message = create_message(gateway);
	GArray *losses = message->losses.losses;

	quarantine_add_known(gateway->quarantine, LOSSES_PER_RECORD,
			     g_rand_double(gateway->random), losses,
			     gateway->now_us);
	if (losses->len > 0 && addresses->len > 0)
		gateway->host.send(gateway->host.data, addresses, message);
	else
		peer_message_destroy(message);
}

/* Sends losses that this node knows to one node. */
void gateway_losses_send(struct gateway *gateway, const char *peer_address)
{
	GPtrArray *addresses = g_ptr_array_new();

	g_ptr_array_add(addresses, (gpointer)peer_address);
	send_known(gateway, addresses);
	g_ptr_array_unref(addresses);
}

/* Applies the losses that another node knows. */
void gateway_losses_receive(struct gateway *gateway,
			    const struct peer_message *message)
{
	const GArray *losses = message->losses.losses;

	for (guint i = 0; i < losses->len; i++) {
		const struct peer_loss *loss =
			&g_array_index(losses, struct peer_loss, i);
		int64_t before_us =
			quarantine_until_us(gateway->quarantine,
					    loss->fingerprint, gateway->now_us);
		int64_t until_us;

		if (!quarantine_merge(gateway->quarantine, loss,
				      gateway->now_us))
			continue;
		gateway->losses_pace.changed_us = gateway->now_us;
		until_us =
			quarantine_until_us(gateway->quarantine,
					    loss->fingerprint, gateway->now_us);
		if ((before_us > 0) != (until_us > 0))
			log_request(gateway, loss->fingerprint, message->from);
	}
}

/* Passes losses on. */
void gateway_losses_step(struct gateway *gateway)
{
	GPtrArray *addresses;
	size_t count;

	announce_news(gateway);
	if (quarantine_count(gateway->quarantine) == 0)
		return;
	count = gossip_pace_count_receivers(&gateway->losses_pace, &schedule,
					    gateway->now_us);
	if (count == 0)
		return;
	addresses = g_ptr_array_new();
	gateway_add_random_members(gateway, count, addresses);
	send_known(gateway, addresses);
	g_ptr_array_unref(addresses);
}

/*
 * Whether this node is the one that may let a request run again after its
 * quarantine. The others refuse it, so that no two runs try it at once.
 */
static bool is_trier(const struct gateway *gateway, uint64_t fingerprint)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	uint64_t own = home_hash(gateway->options.node_name, "", fingerprint);

	for (size_t i = 0; i < membership_count(members); i++)
		if (home_hash(membership_get(members, i)->name, "",
			      fingerprint) < own)
			return false;
	return true;
}

/*
 * Whether the request may be sent to an endpoint now. In its trial it may be
 * sent once.
 */
bool gateway_losses_admit(struct gateway *gateway, uint64_t fingerprint)
{
	switch (quarantine_judge(gateway->quarantine, fingerprint,
				 gateway->now_us)) {
	case QUARANTINE_NONE:
		return true;
	case QUARANTINE_TRIAL:
		if (!is_trier(gateway, fingerprint))
			return false;
		quarantine_begin_trial(gateway->quarantine, fingerprint,
				       gateway->now_us);
		return true;
	case QUARANTINE_HELD:
		break;
	}
	return false;
}

/* Appends the answer to a query, and logs what an operator changes. */
void gateway_answer_query(struct gateway *gateway,
			  const struct event_query *query,
			  struct action_list *actions)
{
	gateway->now_us = gateway_now_us();
	if (query->type == QUERY_LIFT)
		log_write(gateway->log, LOG_LEVEL_INFO, "quarantine_lift",
			  "fingerprint", query->fingerprint, "operator",
			  query->operator_name, NULL);
	quarantine_answer_query(gateway->quarantine, query, gateway->now_us,
				actions);
}
