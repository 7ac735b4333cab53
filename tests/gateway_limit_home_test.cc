#include "core/limit/rate_share.h"
#include "core/limit/recent_starts.h"
#include "core/placement/home.h"
#include "tests/gateway_pair.h"

/*
 * Three nodes and an endpoint with a limit so low that only the home of its
 * service may send to it.
 */
class GatewayLimitHome : public GatewayPair
{
      protected:
	PairEndpoint one{"i-1"};
	size_t home = 0, next = 0, other = 0;

	void SetUp() override
	{
		one.says = "Server-Limit: 1\r\n";
		Create(3);
		for (size_t i = 0; i < nodes.size(); i++) {
			Register(i, "portal", {{one.id, one.address}});
			LetRunFor10S(nodes[i].get());
		}
		FindHomes();
	}

	void LetRunFor10S(struct node *node)
	{
		struct gateway *gateway = node->gateway;
		int64_t start_us = gateway->now_us - 10 * G_USEC_PER_SEC;

		gateway->fleet_peak.started_us = start_us;
		recent_starts_destroy(gateway->recent_starts);
		gateway->recent_starts = recent_starts_create(start_us);
		recent_starts_update(gateway->recent_starts, node->members,
				     start_us);
	}

	size_t IndexOf(const struct member *member)
	{
		size_t i = 0;

		while (nodes[i]->name != member->name)
			i++;
		return i;
	}

	void FindHomes()
	{
		const struct member *first =
			home_find(nodes[0]->members, nullptr, "portal", 0);

		home = IndexOf(first);
		next = IndexOf(home_find_next(nodes[0]->members, "portal",
					      first->name));
		other = 3 - home - next;
	}

	/* Lets a node learn that the process of another one is new. */
	void TellOfRestart(size_t node, size_t started)
	{
		struct peer_message *message = peer_message_create(PEER_PING);
		struct action_list *actions = action_list_create();
		struct member *member = member_copy(membership_find(
			nodes[node]->members, nodes[started]->name.c_str()));

		member->incarnation++;
		message->from = g_strdup(member->name);
		message->from_address = g_strdup(member->peer_address);
		message->incarnation = member->incarnation;
		g_ptr_array_add(message->probe.members, member);
		membership_receive(nodes[node]->members, message, 2, actions);
		peer_message_destroy(message);
		action_list_destroy(actions);
		Wait(60);
	}

	/* Whether the node has sent or granted a request under the limit. */
	bool HasGranted(size_t node)
	{
		return registry_find(nodes[node]->gateway->registry,
				     one.id.c_str())
			->sent_limited;
	}

	/* The limit is known to all nodes, and its first second is over. */
	void KnowTheLimit()
	{
		EXPECT_EQ(200, Ask(other, "/export/a", "first"));
		Wait(1200);
		for (const auto &node : nodes)
			EXPECT_TRUE(node->gateway->knows_limits);
	}
};

/* Guards against requests that no node may grant while a home starts. */
TEST_F(GatewayLimitHome, TheNextNodeGrantsWhileTheHomeStarts)
{
	KnowTheLimit();
	TellOfRestart(next, home);
	TellOfRestart(other, home);
	deaf_node = (int)home;
	EXPECT_EQ(200, Ask(other, "/export/a", "second"));
	EXPECT_EQ(0u, nodes[other]->counters.value[COUNTER_GATEWAY_HOME_SILENT])
		<< "it does not wait for the home";
	EXPECT_EQ(503, Ask(other, "/export/a", "third")) << "one a second";
}

/* Guards against a refusal by a node that did not hear of the home's restart.
 */
TEST_F(GatewayLimitHome, AsksTheNextNodeWhereTheHomeIsSilent)
{
	KnowTheLimit();
	TellOfRestart(next, home);
	deaf_node = (int)home;
	EXPECT_EQ(200, Ask(other, "/export/a", "second"));
}

/* Guards against a home whose place moves on with each node that starts. */
TEST_F(GatewayLimitHome, ANodeThatHasJustStartedTakesNoPlace)
{
	KnowTheLimit();
	TellOfRestart(other, next);
	TellOfRestart(other, home);
	EXPECT_EQ(200, Ask(other, "/export/a", "second"));
	EXPECT_TRUE(HasGranted(home));
	EXPECT_FALSE(HasGranted(next));
}

/* Guards against two homes that grant all of a limit each. */
TEST_F(GatewayLimitHome, ASilentHomeKeepsItsPart)
{
	KnowTheLimit();
	deaf_node = (int)home;
	EXPECT_EQ(503, Ask(other, "/export/a", "second"));
	EXPECT_EQ(2u, nodes[other]->counters.value[COUNTER_GATEWAY_HOME_ASKED]);
	EXPECT_EQ(1u, one.runs.size());
}

/* Members as one node learns of them, in virtual time. */
class RecentStarts : public testing::Test
{
      protected:
	struct membership *members = nullptr;
	struct recent_starts *starts = recent_starts_create(0);

	static struct member *MemberCreate(const char *name,
					   uint64_t incarnation)
	{
		struct member *member = g_new0(struct member, 1);

		member->name = g_strdup(name);
		member->incarnation = incarnation;
		member->version = 1;
		member->http_address = g_strdup("");
		member->peer_address = g_strdup_printf("%s:1", name);
		member->region = g_strdup("r");
		member->failure_domain = g_strdup("a");
		return member;
	}

	RecentStarts()
	{
		static const char *const no_seeds[] = {nullptr};
		struct member *self = MemberCreate("self", 7);
		struct membership_options options = {};

		options.self = self;
		options.seeds = no_seeds;
		options.heartbeat_us = G_USEC_PER_SEC;
		options.suspect_us = G_USEC_PER_SEC;
		members = membership_create(&options);
		member_destroy(self);
	}

	~RecentStarts() override
	{
		recent_starts_destroy(starts);
		membership_destroy(members);
	}

	void Hear(const char *name, uint64_t incarnation)
	{
		struct action_list *actions = action_list_create();
		struct peer_message *message = peer_message_create(PEER_PING);

		message->from = g_strdup(name);
		message->from_address = g_strdup_printf("%s:1", name);
		message->incarnation = incarnation;
		g_ptr_array_add(message->probe.members,
				MemberCreate(name, incarnation));
		membership_receive(members, message, 1, actions);
		peer_message_destroy(message);
		action_list_destroy(actions);
	}

	std::string NamesAt(double s)
	{
		int64_t now_us = (int64_t)(s * G_USEC_PER_SEC);
		std::string text;

		recent_starts_update(starts, members, now_us);
		for (const char *name : {"a", "b", "new", "self"}) {
			if (recent_starts_has(starts, name, now_us))
				text += std::string(name) + " ";
		}
		return text;
	}
};

/* Guards against a fleet that counts as new to each node that starts. */
TEST_F(RecentStarts, NodesThatRanBeforeAreNotRecent)
{
	Hear("a", 1);
	EXPECT_EQ("self ", NamesAt(0.1));
	Hear("b", 1);
	EXPECT_EQ("self ", NamesAt(2.9));
	EXPECT_EQ("", NamesAt(3));
}

TEST_F(RecentStarts, ProcessesThatReplaceOthersAre)
{
	Hear("a", 1);
	NamesAt(0.5);
	Hear("a", 2);
	EXPECT_EQ("a self ", NamesAt(1));
	EXPECT_EQ("a ", NamesAt(3.9));
	EXPECT_EQ("", NamesAt(4));
	Hear("a", 3);
	EXPECT_EQ("a ", NamesAt(10));
	EXPECT_EQ("", NamesAt(13));
}

TEST_F(RecentStarts, NodesThatJoinLaterAre)
{
	EXPECT_EQ("", NamesAt(5));
	Hear("new", 1);
	EXPECT_EQ("new ", NamesAt(6));
	EXPECT_EQ("", NamesAt(9));
}
