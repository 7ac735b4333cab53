#include "adapters/gateway/store_follower.h"
#include "platform/platform.h"
#include "tests/store_fixture.h"

#include <map>
#include <string>

namespace
{

class StoreFollower : public StoreFixture
{
      protected:
	struct store_follower_options options = {};
	struct store_follower *follower = nullptr;
	std::map<std::string, std::string> known;
	int lists = 0;
	int changes = 0;
	int reached = 0; /* how often it was reached again */
	bool is_reached = false;
	int64_t wait_ms_when_reached = -1;

	void SetUp() override
	{
		struct store_follower_events events = {on_listed, on_changed,
						       on_reached, this};

		StartStore();
		platform_store_put(store, "servers/a", "one");
		platform_store_put(store, "other/a", "not followed");
		options.address = fake_server_address(server);
		options.prefix = "servers/";
		options.dialect = &platform_store_dialect;
		options.log = log;
		options.seed = 1;
		follower = store_follower_create(&options, &events);
		ASSERT_TRUE(run_until([&] { return lists == 1; }));
	}

	void TearDown() override
	{
		store_follower_destroy(follower);
		StopStore();
	}

	void take(const struct store_page *page)
	{
		for (guint i = 0; i < page->items->len; i++) {
			const struct store_item *item =
				(const struct store_item *)g_ptr_array_index(
					page->items, i);
			gsize size = 0;
			const char *bytes =
				item->value ? (const char *)g_bytes_get_data(
						      item->value, &size)
					    : "";

			known[item->key] = std::string(bytes, size);
		}
	}

	static void on_listed(void *data, const struct store_page *page)
	{
		StoreFollower *test = (StoreFollower *)data;

		test->lists++;
		test->take(page);
	}

	static void on_changed(void *data, const struct store_page *page)
	{
		StoreFollower *test = (StoreFollower *)data;

		test->changes += page->items->len > 0;
		test->take(page);
	}

	static void on_reached(void *data, bool reached_now)
	{
		StoreFollower *test = (StoreFollower *)data;

		test->is_reached = reached_now;
		if (!reached_now)
			return;
		test->reached++;
		test->wait_ms_when_reached =
			platform_store_last_wait_ms(test->store);
	}
};

} // namespace

TEST_F(StoreFollower, ListsOnceThenWatches)
{
	EXPECT_EQ("one", known["servers/a"]);
	EXPECT_EQ(0u, known.count("other/a"));
	platform_store_put(store, "servers/b", "two");
	EXPECT_TRUE(run_until([&] { return known.count("servers/b") > 0; }));
	EXPECT_EQ(1, lists);
}

/*
 * The store is away for a moment. A watch that waits long would be answered
 * after many seconds if nothing changes, and until then the node would doubt
 * what it knows and refuse what may be new: the first one after a failure is
 * answered at once.
 */
TEST_F(StoreFollower, AsksAtOnceAfterAFailure)
{
	mode("{\"down\": true}");
	EXPECT_TRUE(run_until([&] { return !is_reached; }));
	mode("{\"down\": false}");
	EXPECT_TRUE(run_until([&] { return is_reached; }));
	EXPECT_EQ(1, wait_ms_when_reached);
	EXPECT_EQ(1, lists);
	EXPECT_EQ(2, reached);
}

/*
 * The store falls silent without closing anything. A watch would wait 20 s for
 * its answer and the node trust meanwhile what it knew; the probe of each
 * second finds out. That it is the probe shows by the other follower, which
 * has none and began to watch earlier.
 */
TEST_F(StoreFollower, AProbeFindsASilentStore)
{
	bool close_is_reached = false;
	struct store_follower_events events = {
		[](void *, const struct store_page *) {},
		[](void *, const struct store_page *) {},
		[](void *data, bool reached) { *(bool *)data = reached; },
		&close_is_reached};
	struct store_follower *close = store_follower_create(&options, &events);

	store_follower_watch_closely(close, true);
	EXPECT_TRUE(run_until([&] { return close_is_reached; }));
	mode("{\"silent\": true}");
	EXPECT_TRUE(run_until([&] { return !close_is_reached; }));
	EXPECT_TRUE(is_reached);
	mode("{\"silent\": false}");
	EXPECT_TRUE(run_until([&] { return close_is_reached; }));
	store_follower_destroy(close);
}

/*
 * The store is away, and another node looks out for it. This one waits between
 * two tries, here for minutes, and tries at once when it is told of the return.
 */
TEST_F(StoreFollower, WaitsPatientlyAndTriesWhenTold)
{
	struct store_follower_events events = {on_listed, on_changed,
					       on_reached, this};

	store_follower_destroy(follower);
	options.patient_pause_ms = 10 * 60 * 1000;
	is_reached = false;
	follower = store_follower_create(&options, &events);
	ASSERT_TRUE(run_until([&] { return is_reached; }));
	store_follower_set_patient(follower, true);
	mode("{\"down\": true}");
	EXPECT_TRUE(run_until([&] { return !is_reached; }));
	EXPECT_TRUE(run_until(
		[&] { return store_follower_failures(follower) > 1; }));
	mode("{\"down\": false}");
	settle();
	EXPECT_FALSE(is_reached);
	store_follower_set_patient(follower, false);
	EXPECT_TRUE(run_until([&] { return is_reached; }));
}

/* What changed while it rested is told when it goes on. */
TEST_F(StoreFollower, CatchesUpAfterARest)
{
	store_follower_set_active(follower, false);
	platform_store_put(store, "servers/a", "newer");
	settle();
	EXPECT_EQ("one", known["servers/a"]);
	store_follower_set_active(follower, true);
	EXPECT_TRUE(run_until([&] { return known["servers/a"] == "newer"; }));
}

/* The store has forgotten what changed since: all is read anew. */
TEST_F(StoreFollower, ReadsAnewWhereTheHistoryIsGone)
{
	store_follower_set_active(follower, false);
	platform_store_put(store, "servers/a", "newer");
	platform_store_put(store, "servers/c", "three");
	mode("{\"forget\": true}");
	store_follower_set_active(follower, true);
	EXPECT_TRUE(run_until([&] { return lists == 2; }));
	EXPECT_EQ("newer", known["servers/a"]);
	EXPECT_EQ("three", known["servers/c"]);
}
