#include "core/gateway/registry_query.h"
#include "daemons/ctl_command.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

static constexpr int64_t second_us = 1000000;
static constexpr int64_t now_us = 100 * second_us;

class RegistryQuery : public testing::Test
{
      protected:
	struct registry *registry = registry_create();

	~RegistryQuery() override
	{
		registry_destroy(registry);
	}

	struct endpoint *add(const char *id, const char *service)
	{
		struct registration *entry = g_new0(struct registration, 1);

		entry->id = g_strdup(id);
		entry->service = g_strdup(service);
		entry->address = g_strdup("10.0.0.1:9000");
		entry->failure_domain = g_strdup("a");
		entry->position = 1;
		registry_apply(registry, entry, false, 10 * second_us);
		registration_destroy(entry);
		return registry_find(registry, id);
	}

	/* Returns the answer about a service, as JSON. */
	static std::string ask(const struct registry *registry,
			       const char *service)
	{
		struct action_list *actions = action_list_create();
		struct event_query query = {};

		query.call = 7;
		query.type = QUERY_ENDPOINTS;
		query.service = service;
		registry_answer_query(registry, &query, now_us, actions);
		const struct action *action = action_list_get(actions, 0);
		EXPECT_EQ(1u, action_list_count(actions));
		EXPECT_EQ(ACTION_CALL_ANSWER, action->type);
		EXPECT_EQ(7u, action->answer.call);
		EXPECT_EQ(200, action->answer.status);
		gsize size;
		auto data = static_cast<const char *>(
			g_bytes_get_data(action->answer.body, &size));
		std::string text(data, size);
		action_list_destroy(actions);
		return text;
	}

	/* Returns what the command prints of an answer. */
	static std::string print(const std::string &answer)
	{
		char *text = nullptr;
		size_t size;
		FILE *out = open_memstream(&text, &size);

		ctl_command_print(ctl_command_find("endpoints"), answer.c_str(),
				  false, out);
		fclose(out);
		std::string printed(text, size);
		free(text);
		return printed;
	}
};

/*
 * Guards against an endpoint that gets nothing for a reason that the operator
 * doesn't see. One endpoint stands for each reason; they are added out of
 * order.
 */
TEST_F(RegistryQuery, TellsEachReason)
{
	struct endpoint *endpoint = add("i-9", "portal");

	endpoint->presence = PRESENCE_GONE;
	endpoint = add("i-8", "portal");
	endpoint->replaced_us = now_us - second_us;
	endpoint->limit = {true, 4800, now_us};
	endpoint = add("i-7", "portal");
	endpoint->health.state = HEALTH_RETURNING;
	endpoint->health.trial_left = 0;
	endpoint = add("i-6", "portal");
	endpoint->health.state = HEALTH_ASIDE;
	endpoint->health.until_us = now_us + 4 * second_us;
	endpoint = add("i-5", "portal");
	endpoint->suspicion.until_us = now_us + 2 * second_us;
	endpoint = add("i-4", "portal");
	endpoint->full_until_us = now_us + 1;
	endpoint->rest.until_us = now_us + 3 * second_us;
	endpoint = add("i-3", "portal");
	endpoint->is_cordoned = true;
	endpoint = add("i-2", "portal");
	endpoint->presence = PRESENCE_LEAVING;
	endpoint->since_us = endpoint->said_leaving_us = now_us;
	endpoint->own.requests = 5;
	endpoint = add("i-1", "portal");
	endpoint->presence = PRESENCE_DOUBTED;
	add("i-0", "engines");
	EXPECT_EQ(
		R"(i-0             engines         10.0.0.1:9000         a           ready   for 90000 ms, 0 requests
i-1             portal          10.0.0.1:9000         a           doubted for 90000 ms, 0 requests
i-2             portal          10.0.0.1:9000         a           leaving for 0 ms, 5 requests: said that it leaves 0 ms ago
i-3             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: under a cordon
i-4             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: resting for 3000 ms; full for 1 ms
i-5             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: aside by notices for 2000 ms
i-6             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: aside by health for 4000 ms
i-7             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: aside by health
i-8             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests: another one answered at its address 1000 ms ago; takes 4.800 requests a second
i-9             portal          10.0.0.1:9000         a           gone    for 90000 ms, 0 requests
10 of 10 endpoints
)",
		print(ask(registry, "")));
}

/* Guards against programs that read a member which has gone or was renamed. */
TEST_F(RegistryQuery, AnswersInJson)
{
	struct endpoint *endpoint = add("i-2", "portal");

	endpoint->presence = PRESENCE_LEAVING;
	endpoint->said_leaving_us = now_us - second_us;
	endpoint->replaced_us = now_us - 2 * second_us;
	endpoint->limit = {true, 4500, now_us};
	add("i-0", "engines");
	EXPECT_EQ(R"({"endpoints":[{"id":"i-2","service":"portal",)"
		  R"("address":"10.0.0.1:9000","failure_domain":"a",)"
		  R"("state":"leaving","in_state_ms":90000,)"
		  R"("said_leaving_ms_ago":1000,"replaced_ms_ago":2000,)"
		  R"("cordoned":false,"resting_ms":0,"full_ms":0,)"
		  R"("health":"good","health_allows":true,)"
		  R"("health_aside_ms":0,"notices_aside_ms":0,)"
		  R"("limit_per_s":4.5,"own_requests":0}],"total":1})",
		  ask(registry, "portal"));
}

/*
 * Guards against a slow endpoint that gets few requests, and an operator who
 * doesn't see why, or how old that is.
 */
TEST_F(RegistryQuery, TellsHowFastAnEndpointIs)
{
	struct endpoint *endpoint = add("i-1", "portal");

	endpoint->speed.ratio = 2.43;
	endpoint->speed.evidence = 17;
	endpoint->speed.observed_us = now_us - second_us / 2;
	EXPECT_EQ(
		R"(i-1             portal          10.0.0.1:9000         a           ready   for 90000 ms, 0 requests, takes 243% of the usual time (17 observations, 500 ms ago)
1 of 1 endpoints
)",
		print(ask(registry, "")));
	EXPECT_NE(std::string::npos,
		  ask(registry, "")
			  .find(R"("own_requests":0,"time_percent":243,)"
				R"("time_observations":17,)"
				R"("time_known_ms_ago":500}])"));
	endpoint->speed.observed_us = now_us - 10 * second_us;
	EXPECT_EQ(std::string::npos, ask(registry, "").find("time_"));
	endpoint->speed.stated_ratio = 1.2;
	endpoint->speed.stated_us = now_us;
	EXPECT_NE(std::string::npos,
		  ask(registry, "")
			  .find(R"("time_percent":120,)"
				R"("time_observations":0,)"
				R"("time_known_ms_ago":0}])"));
}

/* Guards against an answer that grows with the fleet, and one cut unseen. */
TEST_F(RegistryQuery, ListsABoundedNumber)
{
	std::string text;

	for (int i = 0; i <= REGISTRY_QUERY_MAX; i++)
		add(("i-" + std::to_string(i)).c_str(), "portal");
	text = print(ask(registry, "portal"));
	EXPECT_NE(std::string::npos, text.find("\n1000 of 1001 endpoints\n"));
	EXPECT_EQ("0 of 0 endpoints\n", print(ask(registry, "other")));
}

/*
 * Guards against a crash at an endpoint whose entry was removed, which names no
 * service, and against one that vanishes from its service's list then.
 */
TEST_F(RegistryQuery, ListsWhatHasGone)
{
	struct registration *removal = g_new0(struct registration, 1);

	add("i-3", "portal");
	removal->id = g_strdup("i-3");
	removal->position = 4;
	removal->is_removed = true;
	registry_apply(registry, removal, false, now_us - second_us);
	registration_destroy(removal);
	EXPECT_EQ("i-3             portal          10.0.0.1:9000         a     "
		  "      gone    for 1000 ms, 0 requests\n"
		  "1 of 1 endpoints\n",
		  print(ask(registry, "portal")));
}

/* Guards against a crash of a node without a gateway, which lists none. */
TEST_F(RegistryQuery, ListsNothingWithoutAGateway)
{
	EXPECT_EQ("0 of 0 endpoints\n", print(ask(nullptr, "portal")));
	EXPECT_EQ("0 of 0 endpoints\n", print(ask(nullptr, "")));
}
