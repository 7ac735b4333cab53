#include "adapters/gateway/gateway_state.h"
#include "core/limit/quarantine_query.h"
#include "core/placement/home.h"

#include <inttypes.h>

/*
 * Quarantine of requests and prompt parts under which endpoints end, and its
 * exchange with the other nodes: they may come again at any node.
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
	gateway_ends_watch(gateway, endpoint, &run->start);
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

/* The names of log lines, for each kind of suspect. */
static const struct {
	const char *held;
	const char *suspected;
	const char *released;
} log_names[SUSPECT_KIND_COUNT] = {
	[SUSPECT_REQUEST] = {"request_held", "request_suspected",
			     "request_released"},
	[SUSPECT_PART] = {"part_held", "part_suspected", "part_released"},
};

/* Logs what quarantine now says of a suspect, and the ends that decide it. */
static void log_suspect(const struct gateway *gateway, uint64_t key,
			const char *source)
{
	const struct quarantine *quarantine = gateway->quarantine;
	const enum suspect_kind kind = suspect_key_kind(key);
	int64_t until_us =
		quarantine_until_us(quarantine, key, gateway->now_us);
	bool is_suspect =
		quarantine_is_suspect(quarantine, key, gateway->now_us);
	char *starts = quarantine_format_ends(quarantine, key, gateway->now_us);
	char name[17], seconds[24];

	g_snprintf(name, sizeof(name), "%016" PRIx64, key);
	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
		   until_us ? (until_us - gateway->now_us) / G_USEC_PER_SEC
			    : 0);
	log_write(gateway->log, until_us ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
		  until_us     ? log_names[kind].held
		  : is_suspect ? log_names[kind].suspected
			       : log_names[kind].released,
		  "fingerprint", name, "for_s", seconds, "ends", starts,
		  "source", source, NULL);
	g_free(starts);
}

static struct peer_message *create_message(struct gateway *gateway)
{
	return gateway->host.message(gateway->host.data, PEER_LOSSES);
}

/* Sends news to all nodes and logs them, one line a suspect. */
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

		if (loss->key != logged)
			log_suspect(gateway, loss->key, "this node");
		logged = loss->key;
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
		int64_t before_us = quarantine_until_us(
			gateway->quarantine, loss->key, gateway->now_us);
		int64_t until_us;

		if (!quarantine_merge(gateway->quarantine, loss,
				      gateway->now_us))
			continue;
		gateway->losses_pace.changed_us = gateway->now_us;
		until_us = quarantine_until_us(gateway->quarantine, loss->key,
					       gateway->now_us);
		if ((before_us > 0) != (until_us > 0))
			log_suspect(gateway, loss->key, message->from);
	}
}

/* Passes losses on. */
void gateway_losses_step(struct gateway *gateway)
{
	GPtrArray *addresses;
	size_t count;

	announce_news(gateway);
	if (quarantine_take_changed(gateway->quarantine))
		gateway->losses_pace.changed_us = gateway->now_us;
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
 * Whether this node is the one that may let a run try again after the
 * quarantine. The others refuse it, so that no two runs try it at once.
 */
static bool is_trier(const struct gateway *gateway, uint64_t key)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	uint64_t own = home_hash(gateway->options.node_name, "", key);

	for (size_t i = 0; i < membership_count(members); i++)
		if (home_hash(membership_get(members, i)->name, "", key) < own)
			return false;
	return true;
}

/*
 * Whether a request with these suspects may be sent to an endpoint now. If not,
 * or if it is a trial, which may be sent once, the suspect that decides it is
 * stored in admission.
 */
bool gateway_losses_admit(struct gateway *gateway,
			  const struct suspect_list *suspects,
			  struct admission *admission)
{
	admission->is_trial = false;
	switch (quarantine_judge(gateway->quarantine, suspects, gateway->now_us,
				 &admission->key)) {
	case QUARANTINE_NONE:
		return true;
	case QUARANTINE_TRIAL:
		if (!is_trier(gateway, admission->key))
			return false;
		quarantine_begin_trial(gateway->quarantine, admission->key,
				       gateway->now_us);
		admission->is_trial = true;
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
