#ifndef TESTS_QUARANTINE_FLEET_H
#define TESTS_QUARANTINE_FLEET_H

#include "core/membership/gossip_pace.h"
#include "core/limit/quarantine.h"

#include <deque>
#include <random>
#include <vector>

static constexpr int64_t ms_us = 1000;
static constexpr int64_t second_us = 1000 * ms_us;

/* The bound within which each node that is reached knows what is held. */
static constexpr int64_t known_within_us = 3 * second_us;

static const struct gossip_schedule schedule = {
	3 * second_us,
	100 * ms_us,
	3,
	second_us,
};

/* Quarantines of many nodes in virtual time, over a network that loses news. */
class QuarantineFleet
{
      public:
	struct node {
		struct quarantine *quarantine;
		struct gossip_pace pace;
		bool is_cut;
	};

	QuarantineFleet(size_t count, double loss_share)
	    : loss_share(loss_share), random(count)
	{
		for (size_t i = 0; i < count; i++)
			Join();
	}

	~QuarantineFleet()
	{
		for (struct node &node : nodes)
			quarantine_destroy(node.quarantine);
	}

	void Join()
	{
		struct quarantine_options options;

		quarantine_options_default(&options);
		nodes.push_back({quarantine_create(&options), {}, false});
	}

	void Restart(size_t i)
	{
		struct quarantine_options options;

		quarantine_options_default(&options);
		quarantine_destroy(nodes[i].quarantine);
		nodes[i] = {quarantine_create(&options), {}, false};
	}

	/* A run of a suspect at a node ends an endpoint; the node finds out. */
	void End(size_t node, uint64_t key, uint64_t endpoint)
	{
		struct quarantine_run run = {
			key, 1,
			quarantine_current_start(nodes[node].quarantine,
						 endpoint << 32)};

		quarantine_report_loss(nodes[node].quarantine, &run, now_us);
		quarantine_report_end(nodes[node].quarantine, &run.start,
				      now_us);
	}

	void Run(int64_t for_us)
	{
		for (int64_t end_us = now_us + for_us; now_us < end_us;) {
			now_us += 50 * ms_us;
			for (size_t i = 0; i < nodes.size(); i++)
				Step(i);
		}
	}

	size_t HeldAt(uint64_t key)
	{
		size_t count = 0;

		for (struct node &node : nodes)
			count += !node.is_cut &&
				 quarantine_until_us(node.quarantine, key,
						     now_us) > 0;
		return count;
	}

	std::vector<struct node> nodes;
	int64_t now_us = second_us;
	size_t sent = 0;
	size_t rows = 0; /* losses in what was sent */

      private:
	void Step(size_t i)
	{
		struct node *node = &nodes[i];
		GArray *news =
			g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
		size_t receivers;

		quarantine_take_news(node->quarantine, news, now_us);
		if (quarantine_take_changed(node->quarantine))
			node->pace.changed_us = now_us;
		if (news->len > 0) {
			node->pace.changed_us = now_us;
			for (size_t j = 0; j < nodes.size(); j++)
				Send(i, j, news);
		}
		g_array_set_size(news, 0);
		quarantine_add_known(node->quarantine, 28, Draw(), news,
				     now_us);
		receivers = news->len > 0
				    ? gossip_pace_count_receivers(
					      &node->pace, &schedule, now_us)
				    : 0;
		for (; receivers > 0; receivers--)
			Send(i, (size_t)(Draw() * (double)nodes.size()), news);
		g_array_unref(news);
	}

	void Send(size_t from, size_t to, const GArray *losses)
	{
		struct node *node = &nodes[to];

		sent++;
		rows += losses->len;
		if (from == to || nodes[from].is_cut != node->is_cut ||
		    Draw() < loss_share)
			return;
		for (guint i = 0; i < losses->len; i++)
			if (quarantine_merge(
				    node->quarantine,
				    &g_array_index(losses, struct peer_loss, i),
				    now_us))
				node->pace.changed_us = now_us;
	}

	double Draw()
	{
		return std::uniform_real_distribution<>(0, 1)(random);
	}

	double loss_share;
	std::mt19937 random;
};

#endif
