#include "core/membership/membership_state.h"

#include <string.h>

#define MAX_GOSSIP_RECORDS 32
#define MAX_RELAYS 64
#define MAX_VERSION ((uint64_t)1 << 62)

static bool member_is_valid(const struct member *member)
{
	return member && member->name && *member->name &&
	       member->peer_address && *member->peer_address &&
	       member->http_address && member->region &&
	       member->failure_domain && member->incarnation != 0 &&
	       member->version < MAX_VERSION && member->state >= MEMBER_LIVE &&
	       member->state <= MEMBER_DEAD && member->config_revision >= 0;
}

static bool peer_message_is_valid(const struct peer_message *message)
{
	if (message->type != PEER_PING && message->type != PEER_ACK &&
	    message->type != PEER_PROBE)
		return false;
	if (!message->from || !*message->from || !message->from_address ||
	    !*message->from_address || message->incarnation == 0 ||
	    message->probe.members->len > MAX_GOSSIP_RECORDS)
		return false;
	if (message->type == PEER_PROBE &&
	    (!message->probe.subject || !*message->probe.subject))
		return false;
	for (guint i = 0; i < message->probe.members->len; i++) {
		if (!member_is_valid(
			    g_ptr_array_index(message->probe.members, i)))
			return false;
	}
	return true;
}

/* Logs a malformed message, at most one line per heartbeat. */
static void membership_reject(struct membership *membership,
			      const struct peer_message *message)
{
	if (membership->rejection_logged_us &&
	    membership->now_us <
		    membership->rejection_logged_us + membership->heartbeat_us)
		return;
	membership->rejection_logged_us = membership->now_us;
	action_list_log(
		membership->actions, LOG_LEVEL_WARN, "member_message_rejected",
		"type", peer_message_type_name(message->type), "from",
		message->from ? message->from : "", "address",
		message->from_address ? message->from_address : "", NULL);
}

/*
 * Answers a ping. The answer carries the own record if it is requested or has
 * changed, or if the sender is unknown or new.
 */
static void membership_answer(struct membership *membership,
			      const struct peer_message *message,
			      const struct peer *sender)
{
	struct peer *self = member_table_self(membership->table);
	struct peer_message *ack = membership_create_message(
		membership, PEER_ACK, message->probe.number, "");
	bool introduce = message->probe.subject && *message->probe.subject;

	if (introduce || !sender || self->spread_left > 0 ||
	    membership_peer_is_new(membership, sender)) {
		member_list_add(ack->probe.members, self);
		self->spread_left = MAX(self->spread_left - 1, 0);
	}
	membership_add_gossip(membership, sender, ack->probe.members);
	membership_send(membership, message->from_address, ack);
}

/*
 * Probes an address on behalf of the sender. Does nothing if no member is known
 * at the address or MAX_RELAYS such probes are pending.
 */
static void membership_relay(struct membership *membership,
			     const struct peer_message *message)
{
	const struct peer *subject = member_table_find_address(
		membership->table, message->probe.subject);
	struct probe *probe;
	guint relays = 0;

	for (guint i = 0; i < membership->probes->len; i++) {
		const struct probe *other =
			g_ptr_array_index(membership->probes, i);

		relays += other->kind == PROBE_RELAY;
	}
	if (!subject || relays >= MAX_RELAYS)
		return;
	probe = membership_add_probe(membership, PROBE_RELAY,
				     message->probe.subject);
	probe->requester = g_strdup(message->from_address);
	probe->requester_number = message->probe.number;
	membership_ping(membership, probe->address, probe->number, true);
}

/* Forwards an answer to the requester with the record of the probed node. */
static void membership_answer_relay(struct membership *membership,
				    const struct probe *probe)
{
	struct peer_message *ack = membership_create_message(
		membership, PEER_ACK, probe->requester_number, probe->address);

	member_list_add(
		ack->probe.members,
		member_table_find_address(membership->table, probe->address));
	membership_send(membership, probe->requester, ack);
}

static void membership_handle_ack(struct membership *membership,
				  const struct peer_message *message,
				  const struct peer *sender)
{
	struct probe *probe =
		membership_find_probe(membership, message->probe.number);

	if (sender && membership_has_quorum(membership) &&
	    (member_table_in_own_region(membership->table, sender) ||
	     membership_is_alone_in_region(membership)))
		membership->last_quorum_us = membership->now_us;
	if (!probe)
		return;
	if (probe->kind == PROBE_RELAY)
		membership_answer_relay(membership, probe);
	g_ptr_array_remove_fast(membership->probes, probe);
}

static void membership_handle_message(struct membership *membership,
				      const struct peer_message *message)
{
	const struct member *own = membership_own_record(membership);
	const struct peer *sender;
	bool replaced;

	if (strcmp(message->from, own->name) == 0)
		return;
	membership->last_received_us = membership->now_us;
	sender = membership_update_sender(membership, message, &replaced);
	if (replaced)
		return;
	for (guint i = 0; i < message->probe.members->len; i++) {
		const struct member *record =
			g_ptr_array_index(message->probe.members, i);

		if (strcmp(record->name, own->name) == 0)
			membership_refute(membership, record);
		else if (strcmp(record->name, message->from) != 0)
			membership_merge_record(membership, sender, record);
	}
	if (message->type == PEER_PING)
		membership_answer(membership, message, sender);
	else if (message->type == PEER_PROBE)
		membership_relay(membership, message);
	else
		membership_handle_ack(membership, message, sender);
}

/*
 * Handles a PING, ACK or PROBE at now_us and appends the answers to actions. A
 * malformed message or one of another type is dropped and logged.
 */
void membership_receive(struct membership *membership,
			const struct peer_message *message, int64_t now_us,
			struct action_list *actions)
{
	membership->now_us = MAX(membership->now_us, now_us);
	membership->actions = actions;
	if (peer_message_is_valid(message))
		membership_handle_message(membership, message);
	else
		membership_reject(membership, message);
	membership_schedule(membership);
	membership->actions = NULL;
}
