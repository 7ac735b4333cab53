#include "core/gateway/route_table.h"

#include <gtest/gtest.h>

#include <string>

class RouteTable : public testing::Test
{
      protected:
	struct config *config = config_create();
	struct route_table *table = nullptr;

	~RouteTable() override
	{
		route_table_unref(table);
		config_unref(config);
	}

	struct route *add(const char *name, const char *host, const char *path)
	{
		return config_add_route(config, name, host, path);
	}

	std::string find(const char *host, const char *target)
	{
		if (!table)
			table = route_table_create(config);
		const struct route *route =
			route_table_find(table, host, target);

		return route ? route->name : "none";
	}
};

TEST_F(RouteTable, TakesTheLongestPrefixOfTheHost)
{
	add("all", "a.example", "/");
	add("reports", "a.example", "/reports/");
	add("drafts", "a.example", "/reports/drafts/");
	add("other", "b.example", "/reports/");
	EXPECT_EQ("drafts", find("a.example", "/reports/drafts/1?x=/y"));
	EXPECT_EQ("reports", find("A.Example:8080", "/reports/1"));
	EXPECT_EQ("all", find("a.example", "/reports"));
	EXPECT_EQ("other", find("b.example", "/reports/drafts/1"));
	EXPECT_EQ("none", find("b.example", "/"));
	EXPECT_EQ("none", find("c.example", "/reports/"));
}

/* The part after the question mark does not belong to the path. */
TEST_F(RouteTable, DoesNotLookForPrefixesInTheQuery)
{
	add("deep", "a.example", "/a/b/");
	add("flat", "a.example", "/a");
	EXPECT_EQ("flat", find("a.example", "/a?/a/b/"));
	EXPECT_EQ("none", find("a.example", "/?/a/b/"));
}

TEST_F(RouteTable, SplitsRequestsByWeight)
{
	struct route *route = add("split", "a.example", "/");

	EXPECT_EQ(nullptr, route_pick_service(route, 0.5));
	route_add_target(route, "old", 90);
	route_add_target(route, "new", 10);
	EXPECT_STREQ("old", route_pick_service(route, 0));
	EXPECT_STREQ("old", route_pick_service(route, 0.899));
	EXPECT_STREQ("new", route_pick_service(route, 0.9));
	EXPECT_STREQ("new", route_pick_service(route, 0.999));
}

TEST_F(RouteTable, FindsTheOrganisationOfAKey)
{
	struct config_organisation *atlas =
		config_add_organisation(config, "atlas");

	config_organisation_add_key(atlas, "k1");
	config_organisation_add_key(atlas, "k2");
	table = route_table_create(config);
	EXPECT_EQ(atlas, route_table_find_organisation(table, "k2"));
	EXPECT_EQ(nullptr, route_table_find_organisation(table, "k"));
	EXPECT_TRUE(route_table_requires_keys(table));
}

TEST_F(RouteTable, FindsAConfirmedKeyByItsDigest)
{
	struct config_organisation *atlas =
		config_add_organisation(config, "atlas");

	g_free(atlas->key_sha256);
	atlas->key_sha256 =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, "k1", -1);
	table = route_table_create(config);
	EXPECT_EQ(atlas, route_table_find_organisation(table, "k1"));
}

TEST_F(RouteTable, NeedsNoKeysWhereNoneAreGiven)
{
	config->requires_keys = false;
	config->revision = 9;
	table = route_table_create(config);
	EXPECT_FALSE(route_table_requires_keys(table));
	EXPECT_EQ(9, route_table_version(table));
}

/* Routes of one engine service that differ in urgency. */
class RouteTableUrgency : public RouteTable
{
      protected:
	struct route *Stream(const char *name, int32_t priority,
			     int64_t first_answer_ms,
			     const char *service = "engines")
	{
		struct route *route = add(name, "a.example", name);

		route->kind = ROUTE_STREAM;
		route->priority = priority;
		route->first_answer_us = first_answer_ms * 1000;
		route_add_target(route, service, 1);
		return route;
	}

	void SetUp() override
	{
		config_add_service(config, "engines", SERVICE_GENERATION)
			->engine.slots = 24;
		config_add_service(config, "portal", SERVICE_PLAIN);
	}

	std::string Deferrable()
	{
		std::string names;

		table = route_table_create(config);
		for (guint i = 0; i < config->routes->len; i++) {
			struct route *route = (struct route *)g_ptr_array_index(
				config->routes, i);

			if (route_table_is_deferrable(table, route))
				names += route->name;
		}
		return names;
	}
};

/* Guards against long answers that take the room of more urgent short ones. */
TEST_F(RouteTableUrgency, TheLessUrgentRouteWithMoreTimeIsDeferrable)
{
	Stream("/draft/", 2, 4000);
	Stream("/check/", 0, 1500);
	EXPECT_EQ("/draft/", Deferrable());
	EXPECT_TRUE(route_table_gives_way(table, "engines"));
	EXPECT_FALSE(route_table_gives_way(table, "portal"));
}

/* Guards against changes for services whose routes don't ask for any. */
TEST_F(RouteTableUrgency, OtherServicesDecideAsBefore)
{
	Stream("/report/", 0, 1800);
	Stream("/check/", 1, 1500);
	Stream("/untimed/", 3, 0);
	Stream("/plain-a/", 2, 4000, "portal");
	Stream("/plain-b/", 0, 1500, "portal");
	add("/empty/", "a.example", "/empty/")->kind = ROUTE_STREAM;
	EXPECT_EQ("", Deferrable());
	EXPECT_FALSE(route_table_gives_way(table, "engines"));
	EXPECT_FALSE(route_table_gives_way(table, "portal"));
}

/* Guards against routes of equal urgency that wait for each other. */
TEST_F(RouteTableUrgency, EqualUrgencyDefersNothing)
{
	Stream("/a/", 1, 4000);
	Stream("/b/", 1, 1500);
	Stream("/c/", 1, 1500);
	EXPECT_EQ("", Deferrable());
}

/* Guards against the pause that a stream of another service allows. */
TEST_F(RouteTable, FindsTheShortestPauseOfAService)
{
	const struct {
		const char *name, *service;
		enum route_kind kind;
		int64_t pause_us;
	} routes[] = {
		{"draft", "engines", ROUTE_STREAM, 250000},
		{"check", "engines", ROUTE_STREAM, 180000},
		{"free", "engines", ROUTE_STREAM, 0},
		{"lookup", "engines", ROUTE_IDEMPOTENT, 1000},
		{"other", "others", ROUTE_STREAM, 2000},
		{"unbound", "unbound", ROUTE_STREAM, 0},
	};

	for (const auto &wanted : routes) {
		struct route *route = add(wanted.name, "a.example", "/");

		route->kind = wanted.kind;
		route->longest_pause_us = wanted.pause_us;
		route_add_target(route, wanted.service, 1);
	}
	table = route_table_create(config);
	EXPECT_EQ(180000, route_table_longest_pause_us(table, "engines"));
	EXPECT_EQ(2000, route_table_longest_pause_us(table, "others"));
	EXPECT_EQ(0, route_table_longest_pause_us(table, "unbound"));
	EXPECT_EQ(0, route_table_longest_pause_us(table, "none"));
}
