#include "ports/peer_message.h"

static const char *const type_names[PEER_MESSAGE_TYPE_COUNT] = {
	[PEER_PING] = "ping",
	[PEER_ACK] = "ack",
	[PEER_PROBE] = "probe",
	[PEER_PLACE] = "place",
	[PEER_PLACED] = "placed",
	[PEER_REFUSED] = "refused",
	[PEER_PROGRESS] = "progress",
	[PEER_RELEASE] = "release",
	[PEER_CONFIG] = "config",
	[PEER_CONFIG_REQUEST] = "config_ask",
	[PEER_LEAVING] = "leaving",
	[PEER_FAILURE_NOTICE] = "failure_notice",
	[PEER_LIMIT_REPORT] = "limit_report",
	[PEER_LIMIT_SHARE] = "limit_share",
	[PEER_STANDING] = "standing",
	[PEER_ROUTES] = "routes",
	[PEER_CHOOSE] = "choose",
	[PEER_CHOSEN] = "chosen",
	[PEER_ROUTES_REQUEST] = "routes_ask",
	[PEER_CORDONS] = "cordons",
	[PEER_ENDPOINT_LIMITS] = "endpoint_limits",
	[PEER_LOSSES] = "losses",
	[PEER_REACH] = "reach",
	[PEER_ENDPOINT_FULL] = "endpoint_full",
	[PEER_ENDPOINT_LEAVING] = "endpoint_leaving",
	[PEER_ENDPOINT_SPEEDS] = "endpoint_speeds",
	[PEER_AWAIT] = "await",
	[PEER_WAITING] = "waiting",
	[PEER_UNAVAILABLE] = "unavailable",
	[PEER_WITHDRAW] = "withdraw",
};

static void member_free(gpointer data)
{
	member_destroy(data);
}

static void peer_holding_free(gpointer data)
{
	struct peer_holding *holding = data;

	g_free(holding->service);
	g_free(holding->endpoint);
	g_free(holding->organisation);
	g_free(holding);
}

/*
 * Creates a message of this type, with empty lists where the type has lists; to
 * be freed by peer_message_destroy().
 */
struct peer_message *peer_message_create(enum peer_message_type type)
{
	struct peer_message *message = g_new0(struct peer_message, 1);

	message->type = type;
	switch (type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		message->probe.members = member_list_create();
		break;
	case PEER_PROGRESS:
		message->progress.holdings =
			g_ptr_array_new_with_free_func(peer_holding_free);
		break;
	case PEER_LEAVING:
		message->leaving.endpoints =
			g_ptr_array_new_with_free_func(g_free);
		break;
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		message->limits.limits = g_ptr_array_new_with_free_func(g_free);
		break;
	case PEER_STANDING:
		message->standing.held =
			g_array_new(FALSE, TRUE, sizeof(struct peer_held));
		message->standing.registrations = registration_list_create();
		break;
	case PEER_CHOOSE:
		message->choose.avoid = g_ptr_array_new_with_free_func(g_free);
		break;
	case PEER_AWAIT:
		message->await.choose.avoid =
			g_ptr_array_new_with_free_func(g_free);
		break;
	case PEER_CORDONS:
		message->cordons.cordons = cordon_list_create();
		break;
	case PEER_ENDPOINT_LIMITS:
		message->endpoint_limits.limits = g_array_new(
			FALSE, FALSE, sizeof(struct peer_endpoint_limit));
		break;
	case PEER_ENDPOINT_SPEEDS:
		message->endpoint_speeds.speeds = g_array_new(
			FALSE, FALSE, sizeof(struct peer_endpoint_speed));
		break;
	case PEER_LOSSES:
		message->losses.losses =
			g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
		break;
	case PEER_REACH:
		message->reach.lost_services =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
		break;
	case PEER_CHOSEN:
	case PEER_PLACE:
	case PEER_PLACED:
	case PEER_REFUSED:
	case PEER_RELEASE:
	case PEER_CONFIG:
	case PEER_CONFIG_REQUEST:
	case PEER_ROUTES:
	case PEER_ROUTES_REQUEST:
	case PEER_FAILURE_NOTICE:
	case PEER_ENDPOINT_FULL:
	case PEER_ENDPOINT_LEAVING:
	case PEER_WAITING:
	case PEER_UNAVAILABLE:
	case PEER_WITHDRAW:
	case PEER_MESSAGE_TYPE_COUNT:
		break;
	}
	return message;
}

static void peer_message_free_payload(struct peer_message *message)
{
	switch (message->type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		g_free(message->probe.subject);
		g_ptr_array_unref(message->probe.members);
		break;
	case PEER_PLACE:
		g_free(message->place.service);
		g_free(message->place.organisation);
		break;
	case PEER_PLACED:
		g_free(message->placed.endpoint);
		break;
	case PEER_PROGRESS:
		g_ptr_array_unref(message->progress.holdings);
		break;
	case PEER_STANDING:
		g_free(message->standing.callers_address);
		g_array_unref(message->standing.held);
		g_ptr_array_unref(message->standing.registrations);
		break;
	case PEER_CHOOSE:
		g_free(message->choose.service);
		g_free(message->choose.failure_domain);
		g_ptr_array_unref(message->choose.avoid);
		break;
	case PEER_AWAIT:
		g_free(message->await.choose.service);
		g_free(message->await.choose.failure_domain);
		g_ptr_array_unref(message->await.choose.avoid);
		g_free(message->await.organisation);
		break;
	case PEER_CHOSEN:
		g_free(message->chosen.endpoint);
		g_free(message->chosen.backup);
		break;
	case PEER_CONFIG:
	case PEER_CONFIG_REQUEST:
	case PEER_ROUTES:
	case PEER_ROUTES_REQUEST:
		if (message->config.document)
			g_bytes_unref(message->config.document);
		break;
	case PEER_LEAVING:
		g_ptr_array_unref(message->leaving.endpoints);
		break;
	case PEER_CORDONS:
		g_ptr_array_unref(message->cordons.cordons);
		break;
	case PEER_ENDPOINT_LIMITS:
		g_array_unref(message->endpoint_limits.limits);
		break;
	case PEER_ENDPOINT_SPEEDS:
		g_array_unref(message->endpoint_speeds.speeds);
		break;
	case PEER_LOSSES:
		g_array_unref(message->losses.losses);
		break;
	case PEER_REACH:
		g_array_unref(message->reach.lost_services);
		break;
	case PEER_FAILURE_NOTICE:
		g_free(message->failure_notice.endpoint);
		break;
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		g_ptr_array_unref(message->limits.limits);
		break;
	case PEER_REFUSED:
	case PEER_RELEASE:
	case PEER_ENDPOINT_FULL:
	case PEER_ENDPOINT_LEAVING:
	case PEER_WAITING:
	case PEER_UNAVAILABLE:
	case PEER_WITHDRAW:
	case PEER_MESSAGE_TYPE_COUNT:
		break;
	}
}

/* Frees a message and all it owns; NULL is allowed. */
void peer_message_destroy(struct peer_message *message)
{
	if (!message)
		return;
	peer_message_free_payload(message);
	g_free(message->from);
	g_free(message->from_address);
	g_free(message);
}

/* Returns a deep copy of a message of type PEER_AWAIT, which the caller owns.
 */
struct peer_message *peer_message_copy_await(const struct peer_message *message)
{
	struct peer_message *copy = peer_message_create(PEER_AWAIT);
	const struct peer_choose *choose = &message->await.choose;
	GPtrArray *avoid = copy->await.choose.avoid;

	copy->from = g_strdup(message->from);
	copy->from_address = g_strdup(message->from_address);
	copy->incarnation = message->incarnation;
	copy->await = message->await;
	copy->await.organisation = g_strdup(message->await.organisation);
	copy->await.choose.service = g_strdup(choose->service);
	copy->await.choose.failure_domain = g_strdup(choose->failure_domain);
	copy->await.choose.avoid = avoid;
	for (guint i = 0; i < choose->avoid->len; i++)
		g_ptr_array_add(avoid,
				g_strdup(g_ptr_array_index(choose->avoid, i)));
	return copy;
}

/* Returns the name of a type for log lines, or "unknown". */
const char *peer_message_type_name(enum peer_message_type type)
{
	return type < PEER_MESSAGE_TYPE_COUNT ? type_names[type] : "unknown";
}

/* Returns a deep copy, to be freed by member_destroy(). */
struct member *member_copy(const struct member *member)
{
	struct member *copy = g_new0(struct member, 1);

	*copy = *member;
	copy->name = g_strdup(member->name);
	copy->http_address = g_strdup(member->http_address);
	copy->peer_address = g_strdup(member->peer_address);
	copy->region = g_strdup(member->region);
	copy->failure_domain = g_strdup(member->failure_domain);
	return copy;
}

/* Frees a member; NULL is allowed. */
void member_destroy(struct member *member)
{
	if (!member)
		return;
	g_free(member->name);
	g_free(member->http_address);
	g_free(member->peer_address);
	g_free(member->region);
	g_free(member->failure_domain);
	g_free(member);
}

/* Creates an empty list that owns its members. */
GPtrArray *member_list_create(void)
{
	return g_ptr_array_new_with_free_func(member_free);
}

/* Appends an empty holding; the message owns it. */
struct peer_holding *peer_progress_add_holding(struct peer_progress *progress)
{
	struct peer_holding *holding = g_new0(struct peer_holding, 1);

	g_ptr_array_add(progress->holdings, holding);
	return holding;
}

/*
 * Appends an endpoint with zero load. The pointer is valid until the next one
 * is added.
 */
struct peer_held *peer_standing_add_held(struct peer_standing *standing,
					 uint64_t endpoint_key)
{
	struct peer_held *held;

	g_array_set_size(standing->held, standing->held->len + 1);
	held = &g_array_index(standing->held, struct peer_held,
			      standing->held->len - 1);
	held->endpoint_key = endpoint_key;
	return held;
}

/* Appends an empty limit; the message owns it. */
struct peer_limit *peer_limits_add(struct peer_limits *limits)
{
	struct peer_limit *limit = g_new0(struct peer_limit, 1);

	g_ptr_array_add(limits->limits, limit);
	return limit;
}
