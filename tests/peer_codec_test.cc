#include "codec/peer_await.h"
#include "codec/peer_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

static struct member *make_member(int i)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup_printf("entry-%d", i);
	member->incarnation = 0x1234567890abcdefu + (uint64_t)i;
	member->version = 7;
	member->state = MEMBER_SUSPECT;
	member->http_address = g_strdup_printf("10.1.2.%d:8080", i);
	member->peer_address = g_strdup_printf("10.1.2.%d:8090", i);
	member->region = g_strdup("casablanca");
	member->failure_domain = g_strdup("casablanca-a");
	member->config_revision = 4711;
	return member;
}

static void add_holdings(struct peer_message *message, int count, bool full)
{
	for (int i = 0; i < count; i++) {
		struct peer_holding *holding =
			peer_progress_add_holding(&message->progress);

		holding->ticket = (1ull << 40) + (uint64_t)i * 3;
		holding->tokens = 1000 + i;
		holding->service = g_strdup(full ? "report-writer" : "");
		holding->organisation =
			g_strdup_printf(full ? "organisation-%d" : "", i % 40);
		holding->endpoint =
			g_strdup_printf(full ? "10.2.0.%d:9000" : "", i % 32);
		holding->prompt_tokens = full ? 500 : 0;
		holding->max_tokens = full ? 4096 : 0;
	}
}

static void fill_endpoint_limits(struct peer_endpoint_limits *limits)
{
	const struct peer_endpoint_limit list[] = {
		{UINT64_MAX - 7, true, 4800, 1234000},
		{1, true, 0, 0},
		{2, false, 0, 5000},
		{3, true, 1000000000, 4294967295000},
	};

	g_array_append_vals(limits->limits, list, G_N_ELEMENTS(list));
}

static void fill_endpoint_speeds(struct peer_endpoint_speeds *speeds)
{
	const struct peer_endpoint_speed list[] = {
		{UINT64_MAX - 5, 1780000000000, 11200, 17, 420000},
		{1, 0, UINT32_MAX, UINT16_MAX, 65535000},
		{2, INT64_MAX, 1, 1, 0},
	};

	g_array_append_vals(speeds->speeds, list, G_N_ELEMENTS(list));
}

static void fill_losses(struct peer_losses *losses)
{
	const struct peer_loss list[] = {
		{UINT64_MAX, 7, 9, LOSS_CONFIRMED, 1234000, false, 0, -1},
		{1, 0, UINT64_MAX, LOSS_REFUTED, 0, true, -10000000, 0},
		{2, 3, 4, LOSS_SUSPECTED, 4294967295000, true, 5000, 60000000},
	};

	g_array_append_vals(losses->losses, list, G_N_ELEMENTS(list));
}

static void fill_text_message(struct peer_message *message)
{
	switch (message->type) {
	case PEER_PLACE:
		message->place.service = g_strdup("report-writer");
		message->place.organisation = g_strdup("atlas");
		message->place.ticket = 99;
		message->place.priority = 9;
		message->place.prompt_tokens = 1200;
		message->place.deadline_in_us = 60000000;
		message->place.prefix_hash = UINT64_MAX;
		break;
	case PEER_PLACED:
		message->placed.ticket = 99;
		message->placed.endpoint = g_strdup("10.2.0.1:9000");
		break;
	case PEER_CONFIG:
	case PEER_ROUTES:
		message->config.document = g_bytes_new("{}", 2);
		message->config.revision = 12;
		break;
	case PEER_CONFIG_REQUEST:
	case PEER_ROUTES_REQUEST:
		message->config.revision = 12;
		break;
	case PEER_LEAVING:
		g_ptr_array_add(message->leaving.endpoints,
				g_strdup("10.2.0.1:9000"));
		break;
	case PEER_CHOOSE:
		message->choose.number = 7;
		message->choose.service = g_strdup("report-writer");
		message->choose.failure_domain = g_strdup("casablanca-a");
		message->choose.tokens = 3400;
		message->choose.prompt_tokens = 3000;
		message->choose.purpose = CHOOSE_RUN_AND_BACKUP;
		g_ptr_array_add(message->choose.avoid, g_strdup("i-1"));
		break;
	case PEER_CHOSEN:
		message->chosen.number = 7;
		message->chosen.endpoint = g_strdup("i-7f3a91c2");
		message->chosen.backup = g_strdup("");
		break;
	case PEER_AWAIT:
		message->await.choose.number = 8;
		message->await.choose.service = g_strdup("report-writer");
		message->await.choose.failure_domain = g_strdup("casablanca-a");
		message->await.choose.tokens = 3400;
		message->await.choose.prompt_tokens = 3000;
		message->await.choose.purpose = CHOOSE_DEFERRABLE_RUN;
		g_ptr_array_add(message->await.choose.avoid, g_strdup("i-1"));
		message->await.organisation = g_strdup("atlas");
		message->await.rank = 9;
		message->await.wait_us = 3600000000;
		break;
	case PEER_WAITING:
	case PEER_WITHDRAW:
		message->wait_notice.number = UINT64_MAX - 5;
		break;
	case PEER_UNAVAILABLE:
		message->unavailable = {UINT64_MAX - 6, 3600000000};
		break;
	case PEER_CORDONS:
		g_ptr_array_add(message->cordons.cordons,
				cordon_create("casablanca-a", 812, false));
		g_ptr_array_add(message->cordons.cordons,
				cordon_create("casablanca-b", 813, true));
		break;
	case PEER_ENDPOINT_LIMITS:
		fill_endpoint_limits(&message->endpoint_limits);
		break;
	case PEER_ENDPOINT_SPEEDS:
		fill_endpoint_speeds(&message->endpoint_speeds);
		break;
	case PEER_LOSSES:
		fill_losses(&message->losses);
		break;
	case PEER_REACH:
		message->reach.is_cut = true;
		for (uint64_t key : {UINT64_MAX, (uint64_t)7})
			g_array_append_val(message->reach.lost_services, key);
		break;
	case PEER_ENDPOINT_FULL:
		message->endpoint_full = {UINT64_MAX - 3, true, 4500};
		break;
	case PEER_ENDPOINT_LEAVING:
		message->endpoint_leaving = {UINT64_MAX - 4, 1780000000000};
		break;
	case PEER_FAILURE_NOTICE:
		message->failure_notice.fingerprint = 5;
		message->failure_notice.endpoint = g_strdup("10.2.0.1:9000");
		break;
	default:
		break;
	}
}

static void fill_standing(struct peer_standing *standing)
{
	struct registration *entry = g_new0(struct registration, 1);
	struct peer_held *held =
		peer_standing_add_held(standing, UINT64_MAX - 7);

	held->requests = 3;
	held->copies = 2;
	held->tokens = 12345;
	held->unread_tokens = 3000;
	standing->table_version = 17;
	standing->answered = 4;
	standing->accepts_requests = true;
	standing->reaches_store = true;
	standing->callers_address = g_strdup("10.1.2.1:8740");
	entry->id = g_strdup("i-7f3a91c2");
	entry->service = g_strdup("report-writer");
	entry->address = g_strdup("10.2.0.1:9000");
	entry->failure_domain = g_strdup("casablanca-a");
	entry->started_ms = 1780000000000;
	entry->warmup_remaining_us = 400000;
	entry->position = 812;
	entry->slots = 24;
	entry->is_leaving = true;
	g_ptr_array_add(standing->registrations, entry);
}

static struct peer_message *make_message(enum peer_message_type type)
{
	struct peer_message *message = peer_message_create(type);

	message->from = g_strdup("entry-1");
	message->from_address = g_strdup("10.1.2.1:8090");
	message->incarnation = 0xfedcba9876543210u;
	fill_text_message(message);
	switch (type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		message->probe.number = 42;
		message->probe.subject =
			g_strdup(type == PEER_PROBE ? "10.1.2.9:8090" : "");
		for (int i = 0; i < 3; i++)
			g_ptr_array_add(message->probe.members, make_member(i));
		break;
	case PEER_REFUSED:
		message->refused.ticket = 99;
		message->refused.refusal = REFUSAL_QUEUE_FULL;
		message->refused.retry_after_us = 2500000;
		break;
	case PEER_PROGRESS:
		message->progress.complete = true;
		add_holdings(message, 5, true);
		break;
	case PEER_STANDING:
		fill_standing(&message->standing);
		break;
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		for (uint32_t i = 1; i <= 3; i++) {
			struct peer_limit *limit =
				peer_limits_add(&message->limits);

			limit->organisation_hash = i * 0x11111111u;
			limit->rate_per_ks = i * 1000;
			limit->tokens = UINT32_MAX - i;
		}
		break;
	case PEER_RELEASE:
		message->release.ticket = 99;
		message->release.outcome = RELEASE_UNREACHABLE;
		message->release.tokens = 321;
		message->release.duration_us = 12345678;
		break;
	default:
		break;
	}
	return message;
}

static struct peer_message *decode(const std::vector<uint8_t> &bytes,
				   struct error *error)
{
	GBytes *record = g_bytes_new(bytes.data(), bytes.size());
	struct peer_message *message;

	error_clear(error);
	message = peer_codec_decode(record, error);
	g_bytes_unref(record);
	return message;
}

static std::vector<uint8_t> encode(const struct peer_message *message)
{
	GBytes *record = peer_codec_encode(message);
	gsize size;
	const uint8_t *data =
		static_cast<const uint8_t *>(g_bytes_get_data(record, &size));
	std::vector<uint8_t> bytes(data, data + size);

	g_bytes_unref(record);
	return bytes;
}

static std::vector<uint8_t> encode_type(int type)
{
	struct peer_message *message =
		make_message(static_cast<enum peer_message_type>(type));
	std::vector<uint8_t> bytes = encode(message);

	peer_message_destroy(message);
	return bytes;
}

/* Re-encoding a decoded message must give the same bytes. */
TEST(PeerCodec, RoundTripsEveryType)
{
	for (int type = 0; type < PEER_MESSAGE_TYPE_COUNT; type++) {
		std::vector<uint8_t> bytes = encode_type(type);
		struct error error;
		struct peer_message *message = decode(bytes, &error);

		ASSERT_NE(nullptr, message) << type << " " << error.detail;
		EXPECT_EQ(type, message->type);
		EXPECT_STREQ("entry-1", message->from);
		EXPECT_STREQ("10.1.2.1:8090", message->from_address);
		EXPECT_EQ(0xfedcba9876543210u, message->incarnation);
		EXPECT_EQ(bytes, encode(message));
		printf("%-12s %4zu bytes\n",
		       peer_message_type_name(message->type), bytes.size());
		peer_message_destroy(message);
	}
}

TEST(PeerCodec, DecodesEachFieldSeparately)
{
	struct error error;
	struct peer_message *message =
		decode(encode_type(PEER_PROGRESS), &error);
	struct peer_holding *holding = static_cast<struct peer_holding *>(
		g_ptr_array_index(message->progress.holdings, 4));

	EXPECT_TRUE(message->progress.complete);
	EXPECT_EQ((1ull << 40) + 12, holding->ticket);
	EXPECT_STREQ("report-writer", holding->service);
	EXPECT_STREQ("10.2.0.4:9000", holding->endpoint);
	EXPECT_STREQ("organisation-4", holding->organisation);
	EXPECT_EQ(500, holding->prompt_tokens);
	EXPECT_EQ(4096, holding->max_tokens);
	EXPECT_EQ(1004, holding->tokens);
	peer_message_destroy(message);

	message = decode(encode_type(PEER_PING), &error);
	struct member *member = static_cast<struct member *>(
		g_ptr_array_index(message->probe.members, 2));
	EXPECT_EQ(3u, message->probe.members->len);
	EXPECT_STREQ("entry-2", member->name);
	EXPECT_STREQ("10.1.2.2:8080", member->http_address);
	EXPECT_STREQ("10.1.2.2:8090", member->peer_address);
	EXPECT_EQ(MEMBER_SUSPECT, member->state);
	EXPECT_EQ(4711, member->config_revision);
	peer_message_destroy(message);

	message = decode(encode_type(PEER_LIMIT_SHARE), &error);
	struct peer_limit *limit = static_cast<struct peer_limit *>(
		g_ptr_array_index(message->limits.limits, 1));
	EXPECT_EQ(3u, message->limits.limits->len);
	EXPECT_EQ(0x22222222u, limit->organisation_hash);
	EXPECT_EQ(2000, limit->rate_per_ks);
	EXPECT_EQ((int64_t)UINT32_MAX - 2, limit->tokens);
	peer_message_destroy(message);

	message = decode(encode_type(PEER_RELEASE), &error);
	EXPECT_EQ(RELEASE_UNREACHABLE, message->release.outcome);
	EXPECT_EQ(321, message->release.tokens);
	EXPECT_EQ(12345678, message->release.duration_us);
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesEachEndpointLimitSeparately)
{
	struct error error;
	struct peer_message *message =
		decode(encode_type(PEER_ENDPOINT_LIMITS), &error);
	struct peer_message *expected =
		peer_message_create(PEER_ENDPOINT_LIMITS);

	ASSERT_NE(nullptr, message) << error.detail;
	fill_endpoint_limits(&expected->endpoint_limits);
	ASSERT_EQ(expected->endpoint_limits.limits->len,
		  message->endpoint_limits.limits->len);
	for (guint i = 0; i < expected->endpoint_limits.limits->len; i++) {
		const struct peer_endpoint_limit *a =
			&g_array_index(message->endpoint_limits.limits,
				       struct peer_endpoint_limit, i);
		const struct peer_endpoint_limit *b =
			&g_array_index(expected->endpoint_limits.limits,
				       struct peer_endpoint_limit, i);

		EXPECT_EQ(b->endpoint_key, a->endpoint_key);
		EXPECT_EQ(b->is_limited, a->is_limited);
		EXPECT_EQ(b->rate_per_ks, a->rate_per_ks);
		EXPECT_EQ(b->age_us, a->age_us);
	}
	peer_message_destroy(expected);
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesEachLossSeparately)
{
	struct error error;
	struct peer_message *message = decode(encode_type(PEER_LOSSES), &error);
	struct peer_message *expected = peer_message_create(PEER_LOSSES);

	ASSERT_NE(nullptr, message) << error.detail;
	fill_losses(&expected->losses);
	ASSERT_EQ(expected->losses.losses->len, message->losses.losses->len);
	for (guint i = 0; i < expected->losses.losses->len; i++) {
		const struct peer_loss *a = &g_array_index(
			message->losses.losses, struct peer_loss, i);
		const struct peer_loss *b = &g_array_index(
			expected->losses.losses, struct peer_loss, i);

		EXPECT_EQ(b->key, a->key);
		EXPECT_EQ(b->owner_key, a->owner_key);
		EXPECT_EQ(b->start_key, a->start_key);
		EXPECT_EQ(b->state, a->state);
		EXPECT_EQ(b->age_us, a->age_us);
		EXPECT_EQ(b->is_cleared, a->is_cleared);
		EXPECT_EQ(b->cleared_age_us, a->cleared_age_us);
		EXPECT_EQ(b->trial_age_us, a->trial_age_us);
	}
	peer_message_destroy(expected);
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesTheServicesThatANodeDoesNotReach)
{
	struct error error;
	struct peer_message *message = decode(encode_type(PEER_REACH), &error);

	ASSERT_NE(nullptr, message) << error.detail;
	EXPECT_TRUE(message->reach.is_cut);
	ASSERT_EQ(2u, message->reach.lost_services->len);
	EXPECT_EQ(UINT64_MAX,
		  g_array_index(message->reach.lost_services, uint64_t, 0));
	EXPECT_EQ(7u, g_array_index(message->reach.lost_services, uint64_t, 1));
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesAFullEndpoint)
{
	struct error error;
	struct peer_message *message =
		decode(encode_type(PEER_ENDPOINT_FULL), &error);

	ASSERT_NE(nullptr, message) << error.detail;
	EXPECT_EQ(UINT64_MAX - 3, message->endpoint_full.endpoint_key);
	EXPECT_TRUE(message->endpoint_full.is_over);
	EXPECT_EQ(4500, message->endpoint_full.rejections_per_ks);
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesALeavingEndpoint)
{
	struct error error;
	struct peer_message *message =
		decode(encode_type(PEER_ENDPOINT_LEAVING), &error);

	ASSERT_NE(nullptr, message) << error.detail;
	EXPECT_EQ(UINT64_MAX - 4, message->endpoint_leaving.endpoint_key);
	EXPECT_EQ(1780000000000, message->endpoint_leaving.started_ms);
	peer_message_destroy(message);
}

TEST(PeerCodec, RefusesALossInAnUnknownState)
{
	std::vector<uint8_t> bytes = encode_type(PEER_LOSSES);
	/* The trial's age, "none", and the state of the first loss. */
	const uint8_t state[] = {0xff,		 0xff, 0xff, 0xff,
				 LOSS_CONFIRMED, 0,    0,    0};
	auto at = std::search(bytes.begin(), bytes.end(), state, state + 8);
	struct error error;

	ASSERT_NE(bytes.end(), at);
	at[4] = LOSS_STATE_COUNT;
	EXPECT_EQ(nullptr, decode(bytes, &error));
}

/* A rate above the highest one is refused; the encoder clamps it. */
TEST(PeerCodec, RefusesEndpointLimitsOutOfRange)
{
	std::vector<uint8_t> bytes = encode_type(PEER_ENDPOINT_LIMITS);
	const uint8_t rate[] = {0xc0, 0x12, 0, 0}; /* 4800 */
	auto at = std::search(bytes.begin(), bytes.end(), rate, rate + 4);
	struct error error;

	ASSERT_NE(bytes.end(), at);
	at[3] = 0x80;
	EXPECT_EQ(nullptr, decode(bytes, &error));
	std::fill(at, at + 4, 0xff);
	struct peer_message *message = decode(bytes, &error);
	ASSERT_NE(nullptr, message) << "no limit";
	EXPECT_FALSE(g_array_index(message->endpoint_limits.limits,
				   struct peer_endpoint_limit, 0)
			     .is_limited);
	peer_message_destroy(message);
}

TEST(PeerCodec, DecodesEachHeldCountSeparately)
{
	struct peer_message *message = peer_message_create(PEER_STANDING);
	struct error error;

	message->from = g_strdup("n");
	message->from_address = g_strdup("10.0.0.1:1");
	message->incarnation = 1;
	for (int i = 1; i <= 3; i++) {
		struct peer_held *held = peer_standing_add_held(
			&message->standing, UINT64_MAX - i);

		held->requests = i;
		held->copies = 10 * i;
		held->tokens = (int64_t)1 << 31;
		held->unread_tokens = 1000 * i;
	}
	struct peer_message *copy = decode(encode(message), &error);
	ASSERT_NE(nullptr, copy) << error.detail;
	ASSERT_EQ(3u, copy->standing.held->len);
	for (int i = 1; i <= 3; i++) {
		struct peer_held *held = &g_array_index(
			copy->standing.held, struct peer_held, i - 1);

		EXPECT_EQ(UINT64_MAX - i, held->endpoint_key);
		EXPECT_EQ(i, held->requests);
		EXPECT_EQ(10 * i, held->copies);
		EXPECT_EQ((int64_t)1 << 31, held->tokens);
		EXPECT_EQ(1000 * i, held->unread_tokens);
	}
	peer_message_destroy(copy);
	peer_message_destroy(message);
}

/*
 * Other nodes' counts are added to sums of 32 bits, which must not overflow:
 * the encoder clamps each count to its range, and the decoder rejects a record
 * with a larger one.
 */
TEST(PeerCodec, RefusesHeldCountsOutOfRange)
{
	const uint8_t last_bytes[] = {11, 15, 19, 23};
	struct peer_message *message = peer_message_create(PEER_STANDING);
	struct error error;

	message->from = g_strdup("n");
	message->from_address = g_strdup("10.0.0.1:1");
	message->incarnation = 1;
	struct peer_held *held =
		peer_standing_add_held(&message->standing, 0xa5a5);
	held->requests = INT32_MAX;
	held->copies = -1;
	held->tokens = INT64_MAX;
	held->unread_tokens = -1;
	std::vector<uint8_t> bytes = encode(message);
	struct peer_message *copy = decode(bytes, &error);
	ASSERT_NE(nullptr, copy) << error.detail;
	held = &g_array_index(copy->standing.held, struct peer_held, 0);
	EXPECT_EQ(1000000, held->requests);
	EXPECT_EQ(0, held->copies);
	EXPECT_EQ((int64_t)1 << 31, held->tokens);
	EXPECT_EQ(0, held->unread_tokens);
	peer_message_destroy(copy);
	peer_message_destroy(message);

	const uint8_t key[] = {0xa5, 0xa5, 0, 0, 0, 0, 0, 0};
	auto at = std::search(bytes.begin(), bytes.end(), key, key + 8);
	ASSERT_NE(bytes.end(), at);
	for (uint8_t last : last_bytes) {
		std::vector<uint8_t> corrupted = bytes;

		corrupted[at - bytes.begin() + last] = 0xff;
		EXPECT_EQ(nullptr, decode(corrupted, &error)) << (int)last;
		EXPECT_STREQ("standing out of range", error.detail);
	}
}

TEST(PeerCodec, DecodesTicketsFarApart)
{
	struct peer_message *message = peer_message_create(PEER_PROGRESS);
	struct error error;

	message->from = g_strdup("n");
	message->from_address = g_strdup("10.0.0.1:1");
	message->incarnation = 1;
	peer_progress_add_holding(&message->progress)->ticket = UINT64_MAX;
	peer_progress_add_holding(&message->progress)->ticket = 3;
	struct peer_message *copy = decode(encode(message), &error);
	ASSERT_NE(nullptr, copy) << error.detail;
	EXPECT_EQ(UINT64_MAX, static_cast<struct peer_holding *>(
				      copy->progress.holdings->pdata[0])
				      ->ticket);
	EXPECT_EQ(3u, static_cast<struct peer_holding *>(
			      copy->progress.holdings->pdata[1])
			      ->ticket);
	peer_message_destroy(copy);
	peer_message_destroy(message);
}

/* Limits the size of the record at the planned load of 800 streams a node. */
TEST(PeerCodec, ProgressOfManyHoldingsIsCompact)
{
	for (bool full : {false, true}) {
		struct peer_message *message = make_message(PEER_PROGRESS);

		g_ptr_array_set_size(message->progress.holdings, 0);
		add_holdings(message, 800, full);
		size_t size = encode(message).size();
		printf("800 holdings %s: %zu bytes, %.1f each\n",
		       full ? "whole" : "tokens only", size, size / 800.0);
		EXPECT_LT(size, full ? 800u * 26 : 800u * 9);
		peer_message_destroy(message);
	}
}

TEST(PeerCodec, RefusesEveryTruncation)
{
	for (int type = 0; type < PEER_MESSAGE_TYPE_COUNT; type++) {
		std::vector<uint8_t> bytes = encode_type(type);

		for (size_t size = 0; size < bytes.size(); size++) {
			std::vector<uint8_t> truncated(bytes.begin(),
						       bytes.begin() + size);
			struct error error;
			struct peer_message *message =
				decode(truncated, &error);

			ASSERT_EQ(nullptr, message) << type << " " << size;
			EXPECT_NE(ERROR_NONE, error.code);
			EXPECT_STREQ("peer.decode", error.step);
		}
	}
}

/* A corrupted byte is rejected or gives a message with valid fields. */
TEST(PeerCodec, SurvivesFlippedBytes)
{
	GRand *random = g_rand_new_with_seed(7);

	for (int type = 0; type < PEER_MESSAGE_TYPE_COUNT; type++) {
		const std::vector<uint8_t> bytes = encode_type(type);

		for (size_t i = 0; i < bytes.size() * 16; i++) {
			std::vector<uint8_t> corrupted = bytes;
			struct error error;

			corrupted[i % corrupted.size()] ^=
				(uint8_t)g_rand_int_range(random, 1, 256);
			struct peer_message *message =
				decode(corrupted, &error);
			if (!message)
				continue;
			EXPECT_LE(strlen(message->from), 64u);
			std::vector<uint8_t> again = encode(message);
			peer_message_destroy(message);
			message = decode(again, &error);
			ASSERT_NE(nullptr, message) << error.detail;
			EXPECT_EQ(again, encode(message));
			peer_message_destroy(message);
		}
	}
	g_rand_free(random);
}

TEST(PeerCodec, RefusesLongTextsAndValuesOutOfRange)
{
	struct peer_message *message = make_message(PEER_PLACE);
	struct error error;

	g_free(message->place.organisation);
	message->place.organisation = g_strnfill(65, 'x');
	EXPECT_EQ(nullptr, decode(encode(message), &error));
	EXPECT_STREQ("text of a placement out of range", error.detail);
	EXPECT_STREQ("entry-1", error.peer);
	message->place.organisation[3] = '\n';
	message->place.organisation[9] = '\0';
	EXPECT_EQ(nullptr, decode(encode(message), &error));
	message->place.organisation[3] = 'x';
	message->place.deadline_in_us = -1;
	EXPECT_EQ(nullptr, decode(encode(message), &error));
	EXPECT_STREQ("placement out of range", error.detail);
	peer_message_destroy(message);

	message = make_message(PEER_REFUSED);
	message->refused.refusal = REFUSAL_COUNT;
	EXPECT_EQ(nullptr, decode(encode(message), &error));
	peer_message_destroy(message);

	message = make_message(PEER_PING);
	for (int i = 0; i < 100; i++)
		g_ptr_array_add(message->probe.members, make_member(i));
	EXPECT_EQ(nullptr, decode(encode(message), &error));
	EXPECT_STREQ("too many members", error.detail);
	peer_message_destroy(message);

	EXPECT_EQ(nullptr, decode(std::vector<uint8_t>(3 << 20, 0), &error));
	EXPECT_EQ(ERROR_TOO_LARGE, error.code);
	std::vector<uint8_t> bytes = encode_type(PEER_PING);
	bytes[3] = 2;
	EXPECT_EQ(nullptr, decode(bytes, &error));
	EXPECT_STREQ("unknown magic or version", error.detail);
	bytes = encode_type(PEER_PING);
	bytes.push_back(0);
	EXPECT_EQ(nullptr, decode(bytes, &error));
}

static bool await_is_valid(int purpose, int rank, uint32_t wait_us,
			   const char *organisation)
{
	struct peer_message *message = peer_message_create(PEER_AWAIT);
	const char *const avoid[] = {"i-1", nullptr};
	GVariant *body = g_variant_ref_sink(
		g_variant_new("(ttuuyssssyus^as)", (guint64)1, (guint64)2, 100,
			      50, (guchar)purpose, "n", "n:1", "service", "a",
			      (guchar)rank, wait_us, organisation, avoid));
	bool is_valid = peer_await_decode(body, &message->await);

	g_variant_unref(body);
	peer_message_destroy(message);
	return is_valid;
}

/* Guards against a queue that another node fills with nonsense. */
TEST(PeerCodec, RefusesWaitingRequestsOutOfRange)
{
	std::string text(64, 'x');

	EXPECT_TRUE(await_is_valid(CHOOSE_RUN, 0, 0, ""));
	EXPECT_TRUE(await_is_valid(CHOOSE_RUN, 9, 3600000000u, text.c_str()));
	EXPECT_FALSE(await_is_valid(CHOOSE_RUN, 10, 0, ""));
	EXPECT_FALSE(await_is_valid(CHOOSE_RUN, 0, 3600000001u, ""));
	EXPECT_FALSE(await_is_valid(CHOOSE_MOVE, 0, 0, ""));
	EXPECT_FALSE(await_is_valid(CHOOSE_PURPOSE_COUNT, 0, 0, ""));
	text += 'x';
	EXPECT_FALSE(await_is_valid(CHOOSE_RUN, 0, 0, text.c_str()));
	EXPECT_FALSE(await_is_valid(CHOOSE_RUN, 0, 0, "a\nb"));
}

/* Guards against callers who are told to come back at an absurd time. */
TEST(PeerCodec, RefusesTimesOfRefusalsOutOfRange)
{
	static const struct {
		int64_t retry_after_us;
		bool is_valid;
	} cases[] = {
		{-1, true},	     {0, true},	  {3600000000, true},
		{3600000001, false}, {-2, false}, {INT64_MAX, false},
	};

	for (const auto &item : cases) {
		struct peer_unavailable read = {};
		GVariant *body = g_variant_ref_sink(
			g_variant_new("(ttxss)", (guint64)1, (guint64)2,
				      item.retry_after_us, "n", "n:1"));

		EXPECT_EQ(item.is_valid, peer_unavailable_decode(body, &read))
			<< item.retry_after_us;
		g_variant_unref(body);
	}
}

/*
 * An empty endpoint means that the home has queued the request. If the decoder
 * rejected it, the requester would treat the home as unreachable and use its
 * local share, bypassing the home's queue.
 */
TEST(PeerCodec, AcceptsAnEmptyEndpointAsQueued)
{
	struct peer_message *message = peer_message_create(PEER_PLACED);
	struct peer_message *decoded;
	struct error error = {};
	GBytes *record;

	message->from = g_strdup("entry-1");
	message->from_address = g_strdup("10.1.2.1:8090");
	message->incarnation = 1;
	message->placed.ticket = 7;
	message->placed.endpoint = g_strdup("");
	record = peer_codec_encode(message);
	decoded = peer_codec_decode(record, &error);
	ASSERT_NE(nullptr, decoded) << error.detail;
	EXPECT_STREQ("", decoded->placed.endpoint);
	peer_message_destroy(decoded);
	peer_message_destroy(message);
	g_bytes_unref(record);
}

/* Guards against speeds that arrive as others than were sent. */
TEST(PeerCodec, PassesEndpointSpeeds)
{
	struct error error;
	struct peer_message *message =
		decode(encode_type(PEER_ENDPOINT_SPEEDS), &error);
	struct peer_message *expected =
		peer_message_create(PEER_ENDPOINT_SPEEDS);

	ASSERT_NE(nullptr, message);
	fill_endpoint_speeds(&expected->endpoint_speeds);
	ASSERT_EQ(expected->endpoint_speeds.speeds->len,
		  message->endpoint_speeds.speeds->len);
	for (guint i = 0; i < expected->endpoint_speeds.speeds->len; i++) {
		const auto &sent =
			g_array_index(expected->endpoint_speeds.speeds,
				      struct peer_endpoint_speed, i);
		const auto &read =
			g_array_index(message->endpoint_speeds.speeds,
				      struct peer_endpoint_speed, i);

		EXPECT_EQ(sent.endpoint_key, read.endpoint_key);
		EXPECT_EQ(sent.started_ms, read.started_ms);
		EXPECT_EQ(sent.time_us, read.time_us);
		EXPECT_EQ(sent.evidence, read.evidence);
		EXPECT_EQ(sent.age_us, read.age_us);
	}
	peer_message_destroy(expected);
	peer_message_destroy(message);
}

/* Guards against a speed by which nothing can be divided or weighed. */
TEST(PeerCodec, RefusesEndpointSpeedsOutOfRange)
{
	const std::vector<uint8_t> bytes = encode_type(PEER_ENDPOINT_SPEEDS);
	const uint8_t time[] = {0xc0, 0x2b, 0, 0, 17, 0}; /* 11200 us */
	auto at = std::search(bytes.begin(), bytes.end(), time, time + 6) -
		  bytes.begin();
	struct error error;

	ASSERT_LT((size_t)at, bytes.size());
	for (int field : {0, 4}) {
		std::vector<uint8_t> bad = bytes;

		std::fill(bad.begin() + at + field,
			  bad.begin() + at + field + (field ? 2 : 4), 0);
		EXPECT_EQ(nullptr, decode(bad, &error)) << field;
	}
	std::vector<uint8_t> negative = bytes;
	negative[(size_t)at - 1] = 0x80;
	EXPECT_EQ(nullptr, decode(negative, &error)) << "its start";
}
