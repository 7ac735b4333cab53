#include "bench/member_network.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

static constexpr int64_t second_us = G_USEC_PER_SEC;

class Network
{
      public:
	explicit Network(uint32_t nodes, uint32_t regions = 1,
			 uint32_t seed = 1)
	{
		member_network_options_default(&options);
		options.nodes = nodes;
		options.regions = regions;
		options.seed = seed;
		network = member_network_create(&options);
	}

	~Network()
	{
		member_network_destroy(network);
	}

	void start_all()
	{
		for (uint32_t i = 0; i < options.nodes; i++)
			member_network_start(network, i);
	}

	void run(double seconds)
	{
		member_network_run(network,
				   member_network_now_us(network) +
					   (int64_t)(seconds * second_us));
	}

	/* Returns the seconds until the condition holds, or limit. */
	double run_until(const std::function<bool()> &condition, double limit)
	{
		double seconds = 0;

		while (!condition() && seconds < limit) {
			run(0.01);
			seconds += 0.01;
		}
		return seconds;
	}

	bool converged() const
	{
		return member_network_has_converged(network);
	}

	void start_and_converge()
	{
		start_all();
		ASSERT_LT(run_until([this] { return converged(); }, 60), 60);
		run(5);
	}

	bool all_know(uint32_t node, enum member_state state)
	{
		for (uint32_t i = 0; i < options.nodes; i++) {
			if (i != node && get(i) &&
			    !member_network_lists(network, i, node, state))
				return false;
		}
		return true;
	}

	bool any_suspect()
	{
		for (uint32_t i = 0; i < options.nodes; i++) {
			for (uint32_t k = 0; k < options.nodes; k++) {
				if (i != k &&
				    member_network_lists(network, i, k,
							 MEMBER_SUSPECT))
					return true;
			}
		}
		return false;
	}

	void cut_both(uint32_t a, uint32_t b, bool cut)
	{
		member_network_block(network, a, b, cut);
		member_network_block(network, b, a, cut);
	}

	struct membership *get(uint32_t node)
	{
		return member_network_membership(network, node);
	}

	const struct member_network_totals *totals()
	{
		return member_network_totals(network);
	}

	struct member_network_options options;
	struct member_network *network;
};

/*
 * All nodes of a region start at the same instant, for example after an outage,
 * and know three seeds. Callers are told of all nodes, so the nodes must soon
 * know each other.
 */
TEST(Membership, AllStartedAtOnceFindEachOther)
{
	for (uint32_t nodes : {2u, 3u, 8u, 48u}) {
		for (uint32_t seed = 1; seed <= 3; seed++) {
			Network network(nodes, 1, seed);

			network.start_all();
			EXPECT_LT(network.run_until(
					  [&] { return network.converged(); },
					  60),
				  nodes <= 8 ? 2 : 6);
			network.run(20);
			EXPECT_TRUE(network.converged());
			EXPECT_EQ(0u, network.totals()->deaths);
		}
	}
}

TEST(Membership, WaitsForSeedsThatStartLater)
{
	Network network(8);

	for (uint32_t i = 3; i < 8; i++)
		member_network_start(network.network, i);
	network.run(60);
	EXPECT_EQ(1u, membership_count(network.get(5)));
	EXPECT_LT(network.totals()->messages, 5u * 60 * 2);
	member_network_start(network.network, 1);
	EXPECT_LT(network.run_until([&] { return network.converged(); }, 30),
		  8);
}

/*
 * A VM is lost without a notice, and nodes send to it until they detect that.
 * The bound is one or two heartbeats until a node probes it, one to suspect it,
 * the suspicion timeout and the time to spread the result.
 */
TEST(Membership, FindsAStoppedNodeInBoundedTime)
{
	double worst = 0;

	for (uint32_t seed = 1; seed <= 6; seed++) {
		Network network(seed % 3 ? 8 : 48, 1, seed);

		network.start_and_converge();
		member_network_stop(network.network, 5);
		worst = std::max(
			worst,
			network.run_until([&] { return network.converged(); },
					  30));
		EXPECT_EQ(0u, network.totals()->false_deaths);
	}
	printf("stopped node known to all after %.2f s at worst\n", worst);
	EXPECT_LT(worst, 4);
}

/*
 * One message in twenty, or in ten, is lost. A node falsely declared dead would
 * lose its shards and its callers, so its refutation must always come first.
 */
TEST(Membership, DeclaresNobodyDeadAtTenPercentLoss)
{
	uint64_t deaths = 0, node_seconds = 0;

	for (uint32_t seed = 1; seed <= 16; seed++) {
		Network network(seed % 2 ? 8 : 48, 1, seed);

		network.start_and_converge();
		member_network_set_loss(network.network, seed % 4 ? 0.1 : 0.05);
		network.run(40);
		deaths += network.totals()->deaths;
		node_seconds += network.options.nodes * 40;
	}
	printf("%" G_GUINT64_FORMAT " false deaths in %" G_GUINT64_FORMAT
	       " node seconds\n",
	       deaths, node_seconds);
	EXPECT_EQ(0u, deaths);
}

/*
 * The link from one node to another is cut in one direction only. Their direct
 * probes fail, but indirect probes succeed, and both stay members.
 */
TEST(Membership, KeepsNodesBehindAOneWayCut)
{
	Network network(8);

	network.start_and_converge();
	member_network_block(network.network, 1, 2, true);
	member_network_block(network.network, 3, 4, true);
	network.run(60);
	EXPECT_TRUE(network.converged());
	EXPECT_EQ(0u, network.totals()->deaths);
}

/*
 * The link between two nodes is cut in both directions. Indirect probes through
 * other nodes succeed, so neither node is even suspected.
 */
TEST(Membership, SuspectsNobodyBehindOneCutLink)
{
	Network network(8);

	network.start_and_converge();
	network.cut_both(1, 2, true);
	EXPECT_GE(network.run_until([&] { return network.any_suspect(); }, 60),
		  60);
	EXPECT_TRUE(network.converged());
}

/*
 * A node can send but no longer receive, so its probes fail at every peer. If
 * it spread its suspicions, the others would declare each other dead. Only this
 * node is removed, it detects that it has no quorum, and it returns once it can
 * receive again.
 */
TEST(Membership, ADeafNodeSpreadsNoSuspicion)
{
	Network network(8);

	network.start_and_converge();
	for (uint32_t i = 0; i < 8; i++)
		member_network_block(network.network, i, 7, i != 7);
	EXPECT_LT(network.run_until(
			  [&] { return network.all_know(7, MEMBER_DEAD); }, 30),
		  5);
	network.run(30);
	for (uint32_t i = 0; i < 7; i++) {
		EXPECT_EQ(7u, membership_count(network.get(i)));
		/* No node had to refute a suspicion. */
		EXPECT_EQ(1u, membership_self(network.get(i))->version);
	}
	EXPECT_GT(member_network_now_us(network.network) -
			  membership_last_quorum_us(network.get(7)),
		  30 * second_us);
	for (uint32_t i = 0; i < 8; i++)
		member_network_block(network.network, i, 7, false);
	EXPECT_LT(network.run_until([&] { return network.converged(); }, 60),
		  15);
}

/*
 * A VM is paused for half a minute and the others declare it dead. When it
 * resumes, it must not declare them dead because of the answers it missed, and
 * it must become a member again with the same incarnation.
 */
TEST(Membership, APausedNodeComesBack)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Network network(8, 1, seed);

		network.start_and_converge();
		member_network_pause(network.network, 6,
				     member_network_now_us(network.network) +
					     30 * second_us);
		network.run(29.9);
		EXPECT_TRUE(network.all_know(6, MEMBER_DEAD));
		uint64_t deaths = network.totals()->deaths;
		EXPECT_LT(network.run_until([&] { return network.converged(); },
					    60),
			  10);
		network.run(10);
		EXPECT_EQ(deaths, network.totals()->deaths);
	}
}

/*
 * A node is paused while it suspects others because messages were lost. When it
 * resumes, its suspicions have long expired; it must probe the members again
 * before it declares them dead.
 */
TEST(Membership, APausedNodeDropsOldSuspicions)
{
	uint64_t suspects = 0;

	for (uint32_t seed = 1; seed <= 40; seed++) {
		Network network(8, 1, seed);

		network.start_and_converge();
		member_network_set_loss(network.network, 0.6);
		network.run(0.9);
		for (uint32_t i = 0; i < 8; i++)
			suspects += member_network_lists(network.network, 6, i,
							 MEMBER_SUSPECT);
		uint64_t before = network.totals()->false_deaths;
		member_network_pause(network.network, 6,
				     member_network_now_us(network.network) +
					     3 * second_us);
		member_network_set_loss(network.network, 0);
		network.run(2.99);
		uint64_t meanwhile = network.totals()->false_deaths;
		network.run(0.2);
		EXPECT_EQ(meanwhile, network.totals()->false_deaths)
			<< "seed " << seed << ", before " << before;
	}
	EXPECT_LT(10u, suspects);
}

/*
 * A VM is replaced within a second under the same name and address. The ids
 * that callers hold contain the incarnation, so the new one must be known as
 * another node at once, and old records must not restore the old one.
 */
TEST(Membership, AReplacedNodeSupersedesTheOldOne)
{
	for (uint32_t seed = 1; seed <= 6; seed++) {
		Network network(seed % 3 ? 8 : 48, 1, seed);

		network.start_and_converge();
		member_network_stop(network.network, 4);
		network.run(0.1 * seed);
		member_network_start(network.network, 4);
		EXPECT_LT(network.run_until([&] { return network.converged(); },
					    60),
			  4);
		network.run(20);
		EXPECT_TRUE(network.converged());
		EXPECT_EQ(0u, network.totals()->false_deaths);
	}
}

/* A node with another name takes over the address of a lost node. */
TEST(Membership, AnotherNameAtTheSameAddressReplacesTheOldOne)
{
	Network network(8);

	network.start_and_converge();
	struct action_list *actions = action_list_create();
	struct peer_message *message = peer_message_create(PEER_PING);
	const struct member *old = membership_find(
		network.get(0), member_network_name(network.network, 5));
	struct member *member = member_copy(old);
	g_free(member->name);
	member->name = g_strdup("newcomer");
	member->incarnation = 4711;
	message->from = g_strdup("newcomer");
	message->from_address = g_strdup(member->peer_address);
	message->incarnation = 4711;
	g_ptr_array_add(message->probe.members, member);
	membership_receive(network.get(0), message,
			   member_network_now_us(network.network), actions);
	EXPECT_NE(nullptr, membership_find(network.get(0), "newcomer"));
	EXPECT_EQ(nullptr,
		  membership_find(network.get(0),
				  member_network_name(network.network, 5)));
	peer_message_destroy(message);
	action_list_destroy(actions);
}

/* A third of a region fails at once; the rest converges and has a quorum. */
TEST(Membership, SurvivesTheLossOfAFailureDomain)
{
	for (uint32_t nodes : {9u, 48u}) {
		Network network(nodes);

		network.start_and_converge();
		for (uint32_t i = 0; i < nodes; i++) {
			if (member_network_domain(network.network, i) == 1)
				member_network_stop(network.network, i);
		}
		EXPECT_LT(network.run_until([&] { return network.converged(); },
					    60),
			  6);
		network.run(10);
		EXPECT_EQ(0u, network.totals()->false_deaths);
		EXPECT_LT(member_network_now_us(network.network) -
				  membership_last_quorum_us(network.get(0)),
			  2 * second_us);
	}
}

/*
 * A network partition separates three of eight nodes from the others for five
 * minutes and longer. The three must detect for all that time that they are the
 * minority, and the eight must find each other again although each side has
 * declared the other dead.
 */
TEST(Membership, AMinorityHasNoQuorumAndComesBack)
{
	for (uint32_t seed = 1; seed <= 2; seed++) {
		Network network(8, 1, seed);

		network.start_and_converge();
		for (uint32_t a = 0; a < 3; a++) {
			for (uint32_t b = 3; b < 8; b++)
				network.cut_both(a, b, true);
		}
		network.run(300);
		int64_t now_us = member_network_now_us(network.network);
		for (uint32_t i = 0; i < 8; i++) {
			EXPECT_EQ(i < 3 ? 3u : 5u,
				  membership_count(network.get(i)));
			int64_t age_us = now_us - membership_last_quorum_us(
							  network.get(i));
			if (i < 3)
				EXPECT_GT(age_us, 290 * second_us);
			else
				EXPECT_LT(age_us, 2 * second_us);
		}
		network.run(1200);
		EXPECT_GT(member_network_now_us(network.network) -
				  membership_last_quorum_us(network.get(0)),
			  1400 * second_us);
		for (uint32_t a = 0; a < 3; a++) {
			for (uint32_t b = 3; b < 8; b++)
				network.cut_both(a, b, false);
		}
		EXPECT_LT(network.run_until([&] { return network.converged(); },
					    60),
			  20);
	}
}

/*
 * Answers to callers must leave out a draining node well within a second, so
 * all other nodes must know by then that it leaves.
 */
TEST(Membership, LeavingIsAnnouncedAtOnce)
{
	Network network(8);

	network.start_and_converge();
	member_network_leave(network.network, 2);
	EXPECT_LT(network.run_until(
			  [&] { return network.all_know(2, MEMBER_LEAVING); },
			  10),
		  0.05);
	network.run(10);
	EXPECT_TRUE(network.all_know(2, MEMBER_LEAVING));
	EXPECT_EQ(0u, network.totals()->deaths);
}

static size_t largest_view(Network &network)
{
	size_t largest = 0;

	for (uint32_t i = 0; i < network.options.nodes; i++)
		largest = std::max(largest, membership_count(network.get(i)));
	return largest;
}

/*
 * With six regions every node knows all members of its own region and at most
 * six of each other one. When two regions lose their links for minutes, no
 * member is declared dead in its own region, and they find each other again.
 */
TEST(Membership, LimitsOtherRegionsAndFindsThemAgain)
{
	Network network(72, 6);

	network.start_and_converge();
	network.run(30);
	EXPECT_LE(largest_view(network), 12u + 5 * 6);
	auto count_of = [&](uint32_t node, const char *region) {
		size_t count = 0;

		for (size_t i = 0; i < membership_count(network.get(node)); i++)
			count += strcmp(membership_get(network.get(node), i)
						->region,
					region) == 0;
		return count;
	};
	for (uint32_t i = 0; i < 72; i++)
		EXPECT_LE(1u,
			  count_of(i, i % 6 == 1 ? "region-0" : "region-1"));

	for (uint32_t a = 0; a < 72; a += 6) {
		for (uint32_t b = 1; b < 72; b += 6)
			network.cut_both(a, b, true);
	}
	network.run(120);
	EXPECT_TRUE(network.converged());
	for (uint32_t a = 0; a < 72; a += 6) {
		for (uint32_t b = 1; b < 72; b += 6)
			network.cut_both(a, b, false);
	}
	network.run(60);
	for (uint32_t a = 0; a < 72; a += 6)
		EXPECT_LE(1u, count_of(a, "region-1"));
	EXPECT_LE(largest_view(network), 12u + 5 * 6);
}

class MembershipInput : public testing::Test
{
      protected:
	void SetUp() override
	{
		network.start_and_converge();
		membership = network.get(0);
		now_us = member_network_now_us(network.network);
		actions = action_list_create();
	}

	void TearDown() override
	{
		action_list_destroy(actions);
	}

	struct peer_message *make(enum peer_message_type type)
	{
		struct peer_message *message = peer_message_create(type);

		message->from = g_strdup("stranger");
		message->from_address = g_strdup("10.9.9.9:1");
		message->incarnation = 77;
		return message;
	}

	struct member *copy_of(uint32_t node)
	{
		return member_copy(membership_find(
			membership,
			member_network_name(network.network, node)));
	}

	void receive(struct peer_message *message)
	{
		action_list_clear(actions);
		membership_receive(membership, message, now_us, actions);
		peer_message_destroy(message);
	}

	Network network{4};
	struct membership *membership = nullptr;
	struct action_list *actions = nullptr;
	int64_t now_us = 0;
};

TEST_F(MembershipInput, MalformedMessagesChangeNothing)
{
	uint64_t epoch = membership_epoch(membership);
	struct peer_message *message = make(PEER_PLACE);

	receive(message);
	message = make(PEER_PING);
	g_clear_pointer(&message->from, g_free);
	receive(message);
	message = make(PEER_PING);
	message->incarnation = 0;
	receive(message);
	receive(make(PEER_PROBE));
	message = make(PEER_PING);
	for (int i = 0; i < 100; i++)
		g_ptr_array_add(message->probe.members, copy_of(1));
	receive(message);
	message = make(PEER_PING);
	g_ptr_array_add(message->probe.members, g_new0(struct member, 1));
	receive(message);
	EXPECT_EQ(epoch, membership_epoch(membership));
	for (size_t i = 0; i < action_list_count(actions); i++)
		EXPECT_EQ(ACTION_LOG, action_list_get(actions, i)->type);
}

TEST_F(MembershipInput, StrangersCannotSuspectOrMoveMembers)
{
	uint64_t epoch = membership_epoch(membership);
	struct peer_message *message = make(PEER_PING);
	struct member *member = copy_of(1);

	member->state = MEMBER_DEAD;
	g_ptr_array_add(message->probe.members, member);
	member = copy_of(2);
	member->version++;
	g_free(member->peer_address);
	member->peer_address = g_strdup("10.9.9.9:2");
	g_ptr_array_add(message->probe.members, member);
	member = copy_of(3);
	member->incarnation = 5;
	g_ptr_array_add(message->probe.members, member);
	receive(message);
	EXPECT_EQ(epoch, membership_epoch(membership));
	/* A possibly new incarnation is verified at the member's address. */
	bool probed = false;
	std::string address =
		membership_find(membership,
				member_network_name(network.network, 3))
			->peer_address;
	for (size_t i = 0; i < action_list_count(actions); i++) {
		struct action *action = action_list_get(actions, i);

		probed |= action->type == ACTION_PEER_SEND &&
			  address == action->peer_send.peer_address;
	}
	EXPECT_TRUE(probed);
}

/*
 * A node was replaced, and the old process on its old VM resumes and sends
 * again. It must not take the name back from the new one.
 */
TEST_F(MembershipInput, AReplacedProcessIsIgnored)
{
	const char *name = member_network_name(network.network, 1);
	struct member *old = copy_of(1);

	for (uint64_t incarnation : {uint64_t{99}, old->incarnation}) {
		struct peer_message *message = make(PEER_PING);
		struct member *member = member_copy(old);

		member->incarnation = incarnation;
		g_free(message->from);
		message->from = g_strdup(name);
		g_free(message->from_address);
		message->from_address = g_strdup(old->peer_address);
		message->incarnation = incarnation;
		g_ptr_array_add(message->probe.members, member);
		receive(message);
		EXPECT_EQ(99u, membership_find(membership, name)->incarnation);
	}
	EXPECT_EQ(0u, action_list_count(actions));
	member_destroy(old);
}

/*
 * Guards against a process that ends by itself and leaves no trace: its node
 * comes back without having said that it leaves, and the others log that.
 */
TEST_F(MembershipInput, TellsAnEndByItselfFromAnAnnouncedOne)
{
	const enum member_state last[] = {MEMBER_LIVE, MEMBER_LEAVING};
	const char *const expected[] = {"no", "yes"};
	uint64_t incarnation = 1000;

	for (size_t i = 0; i < 2; i++) {
		std::string announced;

		for (enum member_state state : {last[i], MEMBER_LIVE}) {
			struct member *member = copy_of(1);
			struct peer_message *message = make(PEER_PING);

			g_free(message->from);
			message->from = g_strdup(member->name);
			g_free(message->from_address);
			message->from_address = g_strdup(member->peer_address);
			member->version++;
			if (state == MEMBER_LIVE)
				member->incarnation = ++incarnation;
			member->state = state;
			message->incarnation = member->incarnation;
			g_ptr_array_add(message->probe.members, member);
			receive(message);
		}
		for (size_t k = 0; k < action_list_count(actions); k++) {
			const struct action *action =
				action_list_get(actions, k);

			if (action->type != ACTION_LOG ||
			    strcmp(action->log.event, "member_restarted") != 0)
				continue;
			announced = (const char *)action->log.fields->pdata[7];
		}
		EXPECT_EQ(expected[i], announced);
	}
}

TEST_F(MembershipInput, RefutesRecordsOfItselfWithinBounds)
{
	uint64_t version = membership_self(membership)->version;
	struct peer_message *message = make(PEER_ACK);
	struct member *member = member_copy(membership_self(membership));

	member->state = MEMBER_DEAD;
	g_ptr_array_add(message->probe.members, member);
	receive(message);
	EXPECT_EQ(version + 1, membership_self(membership)->version);
	EXPECT_EQ(MEMBER_LIVE, membership_self(membership)->state);

	message = make(PEER_ACK);
	member = member_copy(membership_self(membership));
	member->state = MEMBER_DEAD;
	member->version = UINT64_MAX;
	g_ptr_array_add(message->probe.members, member);
	receive(message);
	EXPECT_EQ(version + 1, membership_self(membership)->version);
}

TEST_F(MembershipInput, ProbesOnlyMembersForOthers)
{
	struct peer_message *message = make(PEER_PROBE);

	message->probe.subject = g_strdup("10.9.9.9:22");
	receive(message);
	EXPECT_EQ(0u, action_list_count(actions));
}
