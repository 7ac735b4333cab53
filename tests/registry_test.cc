#include "core/base/store_position.h"
#include "core/gateway/known_start.h"
#include "core/gateway/registry.h"
#include "ports/peer_message.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

static constexpr int64_t second_us = 1000000;

class Registry : public testing::Test
{
      protected:
	struct registry *registry = registry_create();
	struct quarantine *quarantine;
	int64_t now_us = second_us;

	Registry()
	{
		struct quarantine_options options;

		quarantine_options_default(&options);
		quarantine = quarantine_create(&options);
	}

	~Registry() override
	{
		quarantine_destroy(quarantine);
		registry_destroy(registry);
	}

	/* Whether a copy that was kept at that start may be used. */
	bool is_same_start(const struct endpoint *engine,
			   const struct known_start &known)
	{
		return endpoint_is_usable(engine) &&
		       known_start_may_live(&known, engine);
	}

	static struct registration *entry(const char *id, int64_t revision,
					  bool leaving = false,
					  int64_t started_ms = 0)
	{
		struct registration *update = g_new0(struct registration, 1);

		update->id = g_strdup(id);
		update->service = g_strdup("engines");
		update->address = g_strdup("10.0.0.1:9000");
		update->failure_domain = g_strdup("a");
		update->slots = 24;
		update->position = revision;
		update->is_leaving = leaving;
		update->started_ms = started_ms;
		return update;
	}

	bool apply(struct registration *update, bool doubtful = false)
	{
		bool changed =
			registry_apply(registry, update, doubtful, now_us);

		registration_destroy(update);
		return changed;
	}

	bool remove(const char *id, int64_t revision, bool doubtful = false)
	{
		struct registration *update = g_new0(struct registration, 1);

		update->id = g_strdup(id);
		update->position = revision;
		update->is_removed = true;
		return apply(update, doubtful);
	}

	enum endpoint_presence presence(const char *id)
	{
		return registry_find(registry, id)->presence;
	}

	void step(int64_t doubted_before_us)
	{
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

		registry_step(registry, doubted_before_us, now_us, changed);
		g_ptr_array_unref(changed);
	}
};

/*
 * An engine keeps a copy of a run, updates its entry, and later restarts under
 * its id, which loses the copy. Asked to continue from the copy, it would start
 * the run a second time.
 */
TEST_F(Registry, RestartedEngineHasLostItsCopies)
{
	const struct endpoint *engine;
	struct known_start known;

	apply(entry("e1", 5, false, 100));
	engine = registry_find(registry, "e1");
	known = known_start_read(engine, quarantine);
	now_us += second_us;
	apply(entry("e1", 6, false, 100));
	EXPECT_TRUE(is_same_start(engine, known));
	now_us += second_us;
	apply(entry("e1", 7, false, 200));
	EXPECT_TRUE(endpoint_is_usable(engine));
	EXPECT_FALSE(is_same_start(engine, known));
}

/*
 * An endpoint leaves, and a peer that lags still announces it as ready. The
 * older update must not restore it: it would get requests that it can't finish.
 */
TEST_F(Registry, IgnoresOlderUpdates)
{
	EXPECT_TRUE(apply(entry("e1", 4)));
	EXPECT_TRUE(apply(entry("e1", 6, true)));
	EXPECT_FALSE(apply(entry("e1", 5)));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	EXPECT_TRUE(remove("e1", 7));
	EXPECT_FALSE(apply(entry("e1", 6)));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	EXPECT_FALSE(apply(entry("e1", 6, true)));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
}

/* Guards against requests to an endpoint long after it said that it leaves, as
 * the removal of its entry counts as a second notice. */
TEST_F(Registry, ALeavingEndpointHasOneNotice)
{
	const struct endpoint *endpoint;

	apply(entry("e1", 4));
	endpoint = registry_find(registry, "e1");
	EXPECT_EQ(0, endpoint_under_notice_us(endpoint, now_us));
	apply(entry("e1", 5, true));
	EXPECT_LT(0, endpoint_under_notice_us(endpoint, now_us));
	now_us += 2 * second_us;
	remove("e1", 6);
	EXPECT_EQ(2 * second_us, endpoint_under_notice_us(endpoint, now_us));
	apply(entry("e1", 7, true, 100));
	EXPECT_LT(endpoint_under_notice_us(endpoint, now_us), second_us)
		<< "another start";
	apply(entry("e1", 8, false, 200));
	EXPECT_EQ(0, endpoint_under_notice_us(endpoint, now_us));
}

/* Guards against an endpoint that leaves without a word and seems to have ended
 * at once: the removal of its entry is its notice. */
TEST_F(Registry, ARemovedEntryIsANotice)
{
	const struct endpoint *endpoint;

	apply(entry("e1", 4));
	endpoint = registry_find(registry, "e1");
	remove("e1", 5, true);
	now_us += second_us;
	EXPECT_EQ(0, endpoint_under_notice_us(endpoint, now_us)) << "in doubt";
	remove("e1", 5);
	now_us += second_us;
	EXPECT_EQ(2 * second_us, endpoint_under_notice_us(endpoint, now_us));
}

/* Guards against requests to an endpoint long after its entry was removed: the
 * time in which the removal was in doubt counts, as the endpoint serves no
 * longer for the doubt. */
TEST_F(Registry, ANoticeBeginsWithADoubtThatIsConfirmed)
{
	const struct endpoint *endpoint;

	apply(entry("e1", 4));
	endpoint = registry_find(registry, "e1");
	remove("e1", 5, true);
	now_us += 5 * second_us / 2;
	step(now_us);
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	now_us += second_us;
	EXPECT_EQ(7 * second_us / 2,
		  endpoint_under_notice_us(endpoint, now_us));
}

/*
 * The store was away and the leases of its writers expired, but the endpoints
 * still serve. Callers must not be refused until the endpoints have registered
 * again; an endpoint that does not register again becomes gone.
 */
TEST_F(Registry, KeepsUsingWhatMayOnlyHaveLapsed)
{
	apply(entry("e1", 4));
	apply(entry("e2", 5));
	EXPECT_TRUE(remove("e1", 8, true));
	EXPECT_TRUE(remove("e2", 9, true));
	EXPECT_EQ(2u, registry_count_usable(registry, "engines"));
	EXPECT_TRUE(apply(entry("e1", 10)));
	step(now_us - 1);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e2"));
	step(now_us);
	EXPECT_EQ(PRESENCE_GONE, presence("e2"));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* A peer with an uninterrupted watch knows that the entry did not expire. */
TEST_F(Registry, PeerWithoutDoubtConfirmsRemoval)
{
	apply(entry("e1", 4));
	remove("e1", 8, true);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_TRUE(remove("e1", 8));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
}

/* Endpoints missing from a complete listing were removed, unless newer. */
TEST_F(Registry, AppliesACompleteListing)
{
	GPtrArray *list = registration_list_create();
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

	apply(entry("old", 4));
	apply(entry("newer", 20));
	g_ptr_array_add(list, entry("found", 9));
	registry_apply_listing(registry, list, 10, false, now_us, changed);
	EXPECT_EQ(2u, changed->len);
	EXPECT_EQ(PRESENCE_GONE, presence("old"));
	EXPECT_EQ(PRESENCE_READY, presence("newer"));
	EXPECT_EQ(PRESENCE_READY, presence("found"));
	g_ptr_array_unref(list);
	g_ptr_array_unref(changed);
}

/*
 * An engine restarts under its old id. Failures before the restart no longer
 * count.
 */
TEST_F(Registry, ForgetsTheFailuresOfAnEarlierStart)
{
	struct endpoint *endpoint;

	apply(entry("e1", 4, false, 1000));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	apply(entry("e1", 5, false, 1000));
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	apply(entry("e1", 6, false, 2000));
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/* A new address counts as a restart if the entry has no start time. */
TEST_F(Registry, TreatsANewAddressAsARestart)
{
	struct registration *moved = entry("e1", 5);
	struct endpoint *endpoint;

	apply(entry("e1", 4));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	g_free(moved->address);
	moved->address = g_strdup("10.0.0.2:9000");
	apply(moved);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/*
 * Another node announces its complete load each time: the last announcement
 * counts, and the load of a node that falls silent is removed.
 */
TEST_F(Registry, AddsUpWhatOtherNodesHold)
{
	auto announce = [&](const char *node, int32_t requests) {
		struct peer_message *message =
			peer_message_create(PEER_STANDING);
		struct peer_held *one = peer_standing_add_held(
			&message->standing, endpoint_key("e1"));

		one->requests = requests;
		one->tokens = requests * 100;
		registry_set_node_held(registry, node, 1,
				       message->standing.held, now_us);
		peer_message_destroy(message);
	};

	announce("n1", 3);
	apply(entry("e1", 4));
	announce("n2", 4);
	EXPECT_EQ(7, registry_find(registry, "e1")->others.requests);
	now_us += second_us;
	announce("n1", 1);
	EXPECT_EQ(5, registry_find(registry, "e1")->others.requests);
	registry_expire_nodes(registry, now_us);
	EXPECT_EQ(1, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(100, registry_find(registry, "e1")->others.tokens);
}

/*
 * An endpoint is removed while another node still announces load on it, and
 * registers again under its id. That load counts again, once, and nothing of it
 * remains when the node announces none.
 */
TEST_F(Registry, CountsLoadAgainAfterRemoval)
{
	struct peer_message *message = peer_message_create(PEER_STANDING);
	GArray *held = message->standing.held;

	peer_standing_add_held(&message->standing, endpoint_key("e1"))
		->requests = 3;
	peer_standing_add_held(&message->standing, endpoint_key("e2"))
		->requests = 4;
	apply(entry("e1", 4));
	registry_set_node_held(registry, "n1", 1, held, now_us);
	remove("e1", 5);
	now_us += 61 * second_us;
	step(INT64_MIN);
	ASSERT_EQ(nullptr, registry_find(registry, "e1"));
	registry_set_node_held(registry, "n1", 1, held, now_us);
	apply(entry("e1", 6));
	apply(entry("e2", 6));
	EXPECT_EQ(3, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(4, registry_find(registry, "e2")->others.requests);
	g_array_set_size(held, 0);
	registry_set_node_held(registry, "n1", 1, held, now_us);
	EXPECT_EQ(0, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(0, registry_find(registry, "e2")->others.requests);
	peer_message_destroy(message);
}

/* Endpoints that are gone are removed after a minute. */
TEST_F(Registry, RemovesEndpointsLongGone)
{
	apply(entry("e1", 4));
	remove("e1", 5);
	now_us += 61 * second_us;
	step(INT64_MIN);
	EXPECT_EQ(nullptr, registry_find(registry, "e1"));
	EXPECT_EQ(0u, registry_endpoints(registry)->len);
}

/*
 * An engine refused a connection once and was put aside for two seconds. After
 * that it must get requests again, one at first, even if no request was tried
 * in between. Guards against losing an engine for good on each such failure.
 */
TEST_F(Registry, BringsBackWhatWasPutAside)
{
	struct endpoint *endpoint;

	apply(entry("e1", 4));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	step(INT64_MIN);
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	now_us += 3 * second_us;
	step(INT64_MIN);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
	endpoint_health_count_placed(&endpoint->health);
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	step(INT64_MIN);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/* Guards against new requests on an engine that announced its leaving. */
TEST_F(Registry, TakesAnEnginesWordForARemovalInDoubt)
{
	apply(entry("e1", 5));
	apply(entry("e2", 6));
	remove("e1", 7, true);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_TRUE(registry_mark_leaving(registry, "e1", now_us));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	EXPECT_TRUE(registry_mark_leaving(registry, "e2", now_us));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e2"));
	EXPECT_FALSE(registry_mark_leaving(registry, "e1", now_us));
}

/*
 * Guards against an endpoint that said that it leaves and gets requests again,
 * because an entry from before says that it serves.
 */
TEST_F(Registry, HoldsAnEndpointToItsWord)
{
	apply(entry("e1", 5, false, 100));
	EXPECT_TRUE(endpoint_note_leaving(registry_find(registry, "e1"), 0,
					  now_us));
	EXPECT_FALSE(endpoint_note_leaving(registry_find(registry, "e1"), 100,
					   now_us));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	EXPECT_FALSE(apply(entry("e1", 6, false, 100)));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	remove("e1", 7, true);
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	apply(entry("e1", 8, false, 100));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	EXPECT_TRUE(endpoint_is_unconfirmed(registry_find(registry, "e1")));
	EXPECT_TRUE(apply(entry("e1", 9, false, 200)));
	EXPECT_EQ(PRESENCE_READY, presence("e1")) << "a new start";
}

/* Guards against the word of an earlier start that is taken for the next one's.
 */
TEST_F(Registry, IgnoresTheWordOfAnEarlierStart)
{
	apply(entry("e1", 5, false, 200));
	EXPECT_FALSE(endpoint_note_leaving(registry_find(registry, "e1"), 100,
					   now_us));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/*
 * Guards against the word of a start that is forgotten when its entry comes
 * later than the word.
 */
TEST_F(Registry, KeepsTheWordOfAStartThatIsNotKnownYet)
{
	apply(entry("e1", 5, false, 100));
	EXPECT_TRUE(endpoint_note_leaving(registry_find(registry, "e1"), 200,
					  now_us));
	apply(entry("e1", 6, false, 200));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	apply(entry("e1", 7, false, 300));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* Guards against the errors of an earlier start that keep requests away. */
TEST_F(Registry, ANewStartBeginsWithoutErrors)
{
	struct endpoint *endpoint;

	apply(entry("e1", 5, false, 100));
	endpoint = registry_find(registry, "e1");
	endpoint_count_answer(endpoint, true);
	endpoint->replaced_us = now_us;
	apply(entry("e1", 6, false, 200));
	EXPECT_EQ(0, endpoint->error_share);
	EXPECT_EQ(0, endpoint->replaced_us);
}

/* Guards against a rest that outlasts the start that asked for it. */
TEST_F(Registry, ANewStartEndsARest)
{
	apply(entry("e1", 5, false, 100));
	registry_find(registry, "e1")->rest.until_us = INT64_MAX;
	apply(entry("e1", 6, false, 100));
	EXPECT_NE(0, registry_find(registry, "e1")->rest.until_us);
	apply(entry("e1", 7, false, 200));
	EXPECT_EQ(0, registry_find(registry, "e1")->rest.until_us);
}

/* Guards against a start that counts as slow because the one before was. */
TEST_F(Registry, ANewStartHasAnUnknownSpeed)
{
	struct endpoint *endpoint;

	apply(entry("e1", 5, false, 100));
	endpoint = registry_find(registry, "e1");
	endpoint->speed.ratio = 4;
	endpoint->speed.observed_us = now_us;
	endpoint->load_was_unreadable = true;
	apply(entry("e1", 6, false, 100));
	EXPECT_EQ(4, endpoint_speed_ratio(&endpoint->speed, now_us));
	apply(entry("e1", 7, false, 200));
	EXPECT_EQ(1, endpoint_speed_ratio(&endpoint->speed, now_us));
	EXPECT_FALSE(endpoint->load_was_unreadable);
}

/* Guards against a new start, known by its address, that is taken for leaving.
 */
TEST_F(Registry, ANewAddressEndsTheWordOfTheOldOne)
{
	struct registration *moved = entry("e1", 6, false, 100);

	apply(entry("e1", 5, false, 100));
	endpoint_note_leaving(registry_find(registry, "e1"), 0, now_us);
	g_free(moved->address);
	moved->address = g_strdup("10.0.0.9:1");
	apply(moved);
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* Guards against an endpoint that puts itself away for good by a slip. */
TEST_F(Registry, UsesAnEndpointAgainThatServesLongAfterItsWord)
{
	apply(entry("e1", 5, false, 100));
	apply(entry("e2", 6, true, 100));
	for (const char *id : {"e1", "e2"})
		endpoint_note_leaving(registry_find(registry, id), 0, now_us);
	now_us += 300 * G_USEC_PER_SEC;
	step(INT64_MIN);
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	now_us++;
	step(INT64_MIN);
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e2")) << "its entry says so too";
}

/* A store that comes back from a copy gives revisions out again. */
class RegistryEras : public Registry
{
      protected:
	static int64_t at(int64_t era, int64_t revision)
	{
		int64_t position = -1;

		EXPECT_TRUE(store_position_make(era, revision, &position));
		return position;
	}

	/* Applies a listing of the ready endpoints named. */
	void list(int64_t position, std::vector<std::string> ids,
		  int64_t entry_position)
	{
		GPtrArray *entries = registration_list_create();
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

		for (const std::string &id : ids)
			g_ptr_array_add(entries,
					entry(id.c_str(), entry_position));
		registry_apply_listing(registry, entries, position, false,
				       now_us, changed);
		g_ptr_array_unref(entries);
		g_ptr_array_unref(changed);
	}

	/* Passes time without an outage that was noticed. */
	void pass(int64_t us)
	{
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

		now_us += us;
		registry_step(registry, now_us - 2500000, now_us, changed);
		g_ptr_array_unref(changed);
	}
};

/* Guards against entries that are ignored for their lower revisions. */
TEST_F(RegistryEras, AppliesWhatIsWrittenUnderALowerRevision)
{
	apply(entry("e1", at(1, 900)));
	EXPECT_TRUE(apply(entry("e1", at(2, 850), true)));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	EXPECT_TRUE(apply(entry("e2", at(2, 851))));
	EXPECT_EQ(PRESENCE_READY, presence("e2"));
}

/* Guards against a late answer or a peer that has not seen the new era. */
TEST_F(RegistryEras, IgnoresUpdatesOfAnEarlierEra)
{
	apply(entry("e1", at(1, 900)));
	apply(entry("e1", at(2, 850)));
	EXPECT_FALSE(remove("e1", at(1, 960)));
	EXPECT_FALSE(apply(entry("e1", at(1, 970), true)));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* Guards against refusals while live engines' entries are missing. */
TEST_F(RegistryEras, KeepsUsingWhatTheCopyLacks)
{
	apply(entry("e1", at(1, 900)));
	apply(entry("e2", at(1, 901)));
	list(at(2, 700), {}, 0);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e2"));
	pass(second_us);
	EXPECT_FALSE(remove("e1", at(2, 705)));
	EXPECT_TRUE(apply(entry("e1", at(2, 710))));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
	pass(2 * second_us);
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
	EXPECT_EQ(PRESENCE_GONE, presence("e2")) << "it left in the gap";
}

/* Guards against requests to engines that the copy shows from before. */
TEST_F(RegistryEras, DoesNotBringBackWhatHasLeft)
{
	apply(entry("leaving", at(1, 800)));
	apply(entry("gone", at(1, 801)));
	apply(entry("reported", at(1, 802)));
	apply(entry("leaving", at(1, 900), true));
	remove("gone", at(1, 901));
	registry_mark_leaving(registry, "reported", now_us);
	list(at(2, 850), {"leaving", "gone", "reported"}, at(2, 800));
	EXPECT_EQ(PRESENCE_LEAVING, presence("leaving"));
	EXPECT_EQ(PRESENCE_GONE, presence("gone"));
	EXPECT_EQ(PRESENCE_LEAVING, presence("reported"));
	for (const char *id : {"leaving", "gone", "reported"})
		EXPECT_FALSE(
			endpoint_is_unconfirmed(registry_find(registry, id)))
			<< id << " is asked because of a copy";

	/* The engines and the store write again. */
	pass(second_us);
	apply(entry("leaving", at(2, 860), true));
	remove("gone", at(2, 861));
	pass(6 * second_us);
	EXPECT_EQ(PRESENCE_LEAVING, presence("leaving"));
	EXPECT_EQ(PRESENCE_GONE, presence("gone"));
	EXPECT_EQ(PRESENCE_LEAVING, presence("reported"))
		<< "it said so itself, and no new start of it is known";
}

/* Guards against doubt that outlasts the time for which it is needed. */
TEST_F(RegistryEras, BelievesTheStoreOnceItHasSettled)
{
	apply(entry("e1", at(1, 900)));
	apply(entry("e2", at(2, 850)));
	pass(6 * second_us);
	EXPECT_TRUE(remove("e2", at(2, 870)));
	EXPECT_EQ(PRESENCE_GONE, presence("e2"));
	EXPECT_FALSE(apply(entry("e2", at(2, 880))));
	EXPECT_EQ(PRESENCE_GONE, presence("e2")) << "it has not confirmed it";
	EXPECT_TRUE(
		registry_note_status(registry, "e2", ENDPOINT_SERVES, now_us));
	EXPECT_EQ(PRESENCE_READY, presence("e2"));
}

/* Guards against a second copy that comes back before the first has settled. */
TEST_F(RegistryEras, SettlesAgainAfterASecondCopy)
{
	apply(entry("e1", at(1, 900)));
	list(at(2, 800), {"e1"}, at(2, 700));
	pass(5 * second_us);
	list(at(3, 750), {}, 0);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	pass(second_us);
	EXPECT_TRUE(apply(entry("e1", at(3, 760))));
	pass(6 * second_us);
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* Guards against a store whose revisions go back although its era stays. */
TEST_F(RegistryEras, StartsAnewAfterARewind)
{
	apply(entry("e1", at(1, 900)));
	apply(entry("e2", at(1, 901), true));
	registry_rewind(registry, now_us);
	list(at(1, 800), {"e2"}, at(1, 700));
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e2"));
	EXPECT_TRUE(apply(entry("e1", at(1, 805))));
}

/* Guards against requests to the endpoints of a cordoned failure domain. */
TEST_F(Registry, EndpointsUnderACordonGetNothingNewAndGoOn)
{
	struct cordon *cordon = cordon_create("a", 10, false);
	const struct endpoint *engine;
	struct known_start known;

	apply(entry("e1", 5));
	engine = registry_find(registry, "e1");
	known = known_start_read(engine, quarantine);
	EXPECT_TRUE(registry_apply_cordon(registry, cordon, now_us));
	EXPECT_FALSE(endpoint_is_usable(engine));
	EXPECT_FALSE(is_same_start(engine, known));
	EXPECT_FALSE(endpoint_is_leaving(engine));
	EXPECT_EQ(0u, registry_count_usable(registry, "engines"));
	EXPECT_TRUE(registry_has_cordoned(registry, "engines"));
	EXPECT_EQ(1u, registry_count_in_domain(registry, "a"));

	apply(entry("e2", 11));
	EXPECT_FALSE(endpoint_is_usable(registry_find(registry, "e2")))
		<< "registered after the cordon";
	apply(entry("e1", 12));
	EXPECT_FALSE(endpoint_is_usable(engine)) << "updated after the cordon";

	cordon->position = 13;
	cordon->is_lifted = true;
	now_us += second_us;
	EXPECT_TRUE(registry_apply_cordon(registry, cordon, now_us));
	EXPECT_TRUE(endpoint_is_usable(engine));
	EXPECT_EQ(now_us, engine->uncordoned_us);
	EXPECT_FALSE(registry_has_cordoned(registry, "engines"));
	cordon_destroy(cordon);
}

/* An entry tells that its endpoint, which did not restart, is cold again. */
TEST_F(Registry, EndpointMayBecomeColdAgain)
{
	const struct endpoint *engine;
	struct registration *again = entry("e1", 6);

	apply(entry("e1", 5));
	engine = registry_find(registry, "e1");
	EXPECT_FALSE(endpoint_is_cold(engine, second_us, now_us));
	again->warmup_remaining_us = 2 * second_us;
	apply(again);
	EXPECT_TRUE(endpoint_is_cold(engine, second_us, now_us + second_us));
	EXPECT_FALSE(
		endpoint_is_cold(engine, second_us, now_us + 3 * second_us));
}
