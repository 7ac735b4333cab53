#include "adapters/gateway/gateway_state.h"
#include "core/gateway/known_start.h"
#include "core/gateway/registry_query.h"
#include "core/limit/quarantine_query.h"
#include "core/limit/suspect_text.h"

/*
 * Quarantine of requests and prompt parts under which endpoints end, and its
 * exchange with the other nodes: they may come again at any node.
 */

/* Returns the start of the endpoint that runs now, as far as is known. */
struct endpoint_start gateway_losses_start(const struct gateway *gateway,
					   const struct endpoint *endpoint)
{
	return known_start_read(endpoint, gateway->quarantine).start;
}

/* Records a run that its endpoint broke off, without looking for its end. */
void gateway_losses_record(struct gateway *gateway, const struct lost_run *run)
{
	/* A run that went on for a while was not ended by what it began with.
	 */
	int32_t count = run->is_young ? run->suspects->count : 1;

	for (int32_t i = 0; i < count; i++) {
		const struct quarantine_run lost = {
			.key = run->suspects->keys[i],
			.owner_key = run->owner_key,
			.start = run->start,
		};

		quarantine_report_loss(gateway->quarantine, &lost,
				       gateway->now_us);
	}
}

/* Records that the endpoint broke off a run. */
void gateway_losses_note(struct gateway *gateway, const struct lost_run *run,
			 const struct endpoint *endpoint)
{
	gateway_losses_record(gateway, run);
	gateway_ends_watch(gateway, endpoint, &run->start, true);
}

/* Records that the request was answered whole by a run begun at begun_us. */
void gateway_losses_note_whole(struct gateway *gateway,
			       const struct suspect_list *suspects,
			       int64_t begun_us)
{
	quarantine_report_success(gateway->quarantine, suspects->keys[0],
				  begun_us, gateway->now_us);
	gateway_losses_note_progress(gateway, suspects, begun_us);
}

/* Records that a run begun at begun_us goes on: its parts end no endpoint. */
void gateway_losses_note_progress(struct gateway *gateway,
				  const struct suspect_list *suspects,
				  int64_t begun_us)
{
	for (int32_t i = 1; i < suspects->count; i++)
		quarantine_report_success(gateway->quarantine,
					  suspects->keys[i], begun_us,
					  gateway->now_us);
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

/* Logs what quarantine now says of a suspect, and the ends that decide it. */
static void log_suspect(void *data, uint64_t key, const char *source)
{
	const struct gateway *gateway = data;
	struct suspect_text text;

	suspect_text_init(&text, gateway->quarantine, key, gateway->now_us);
	log_write(gateway->log, text.level, text.event, "fingerprint",
		  text.fingerprint, "for_s", text.for_s, "ends", text.ends,
		  "source", source, NULL);
	suspect_text_clear(&text);
}

static struct peer_message *create_message(struct gateway *gateway,
					   const struct peer_loss *losses,
					   guint count)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_LOSSES);

	g_array_append_vals(message->losses.losses, losses, count);
	return message;
}

static void send_to_all(void *data, const struct peer_loss *losses, guint count)
{
	struct gateway *gateway = data;

	gateway_send_to_all(gateway, create_message(gateway, losses, count));
}

static void send_to_some(void *data, const GArray *losses, size_t receivers)
{
	struct gateway *gateway = data;
	GPtrArray *addresses = g_ptr_array_new();

	gateway_add_random_members(gateway, receivers, addresses);
	if (addresses->len > 0)
		gateway->host.send(
			gateway->host.data, addresses,
			create_message(gateway,
				       (const struct peer_loss *)losses->data,
				       losses->len));
	g_ptr_array_unref(addresses);
}

/* To be called once, before any other function here; copies the options. */
void gateway_losses_init(struct gateway *gateway,
			 const struct quarantine_options *options)
{
	const struct loss_gossip_host host = {
		.send_to_all = send_to_all,
		.send_to_some = send_to_some,
		.changed = log_suspect,
		.data = gateway,
	};

	gateway->quarantine = quarantine_create(options);
	gateway->loss_gossip =
		loss_gossip_create(gateway->quarantine, gateway->random, &host);
}

/* Frees what gateway_losses_init created. */
void gateway_losses_clear(struct gateway *gateway)
{
	loss_gossip_destroy(gateway->loss_gossip);
	quarantine_destroy(gateway->quarantine);
}

/* Sends losses that this node knows to one node. */
void gateway_losses_send(struct gateway *gateway, const char *peer_address)
{
	struct peer_message *message = create_message(gateway, NULL, 0);

	loss_gossip_add_known(gateway->loss_gossip, message->losses.losses,
			      gateway->now_us);
	if (message->losses.losses->len == 0) {
		peer_message_destroy(message);
		return;
	}
	gateway_send(gateway, peer_address, message);
}

/* Applies the losses that another node knows. */
void gateway_losses_receive(struct gateway *gateway,
			    const struct peer_message *message)
{
	loss_gossip_receive(gateway->loss_gossip, message->losses.losses,
			    message->from, gateway->now_us);
}

/* Passes losses on. */
void gateway_losses_step(struct gateway *gateway)
{
	loss_gossip_step(gateway->loss_gossip, gateway->now_us);
}

/* Whether a request with these suspects may be sent to an endpoint now. */
bool gateway_losses_admit(struct gateway *gateway,
			  const struct suspect_list *suspects,
			  struct admission *admission)
{
	return admission_ask(admission, gateway->quarantine, suspects,
			     gateway->host.members(gateway->host.data),
			     gateway->now_us);
}

/* Appends the answer to a query, and logs what an operator changes. */
void gateway_answer_query(struct gateway *gateway,
			  const struct event_query *query,
			  struct action_list *actions)
{
	gateway->now_us = gateway_now_us();
	if (query->type == QUERY_ENDPOINTS) {
		registry_answer_query(gateway->registry, query, gateway->now_us,
				      actions);
		return;
	}
	if (query->type == QUERY_WAITING) {
		gateway_waiting_answer_query(gateway, query->call, actions);
		return;
	}
	if (query->type == QUERY_LIFT)
		log_write(gateway->log, LOG_LEVEL_INFO, "quarantine_lift",
			  "fingerprint", query->fingerprint, "operator",
			  query->operator_name, NULL);
	quarantine_answer_query(gateway->quarantine, query, gateway->now_us,
				actions);
}
