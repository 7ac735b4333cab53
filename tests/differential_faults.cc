#include "tests/differential_state.h"

namespace differential
{

void Script::PlanKill(int64_t at_us, int node, int64_t for_us)
{
	At(at_us, [this, node] {
		Say("kill n" + std::to_string(node));
		killed_.insert(world_node_incarnation(world_, node));
		world_kill_node(world_, node);
	});
	At(at_us + for_us, [this, node] {
		Say("start n" + std::to_string(node));
		world_start_node(world_, node);
	});
}

/* The callers of all open streams stop reading for for_us. */
void Script::SlowCaller(int64_t for_us)
{
	for (const auto &[id, call] : calls_) {
		uint64_t slow = id;

		if (call.ended || call.intent->kind == REQUEST_PLAIN)
			continue;
		Say("slow " + std::to_string(id));
		world_set_call_flow(world_, slow, true);
		At(world_now_us(world_) + for_us,
		   [this, slow] { world_set_call_flow(world_, slow, false); });
	}
}

void Script::PlanFault(int64_t at_us)
{
	int64_t for_us = Pick(200 * kMs, 8 * kSecond);
	int node = AnyNode();
	int endpoint = AnyEndpoint();
	int32_t a = static_cast<int32_t>(Pick(0, world_party_kv(world_)));
	int32_t b = static_cast<int32_t>(Pick(0, world_party_kv(world_)));
	struct world_kv_mode mode = {};

	switch (Pick(0, 12)) {
	case 0:
		PlanKill(at_us, node, for_us);
		break;
	case 10: /* all nodes of a failure domain */
		for (int i = node % 2; i < options_.node_count; i += 2)
			PlanKill(at_us, i, for_us);
		break;
	case 11: /* all nodes, which then start at the same time */
		for (int i = 0; i < options_.node_count; i++)
			PlanKill(at_us, i, for_us);
		break;
	case 12:
		At(at_us, [this, for_us] { SlowCaller(for_us); });
		break;
	case 1:
	case 2:
		At(at_us, [this, node, for_us] {
			Say("pause n" + std::to_string(node) + " for " +
			    std::to_string(for_us));
			world_pause_node(world_, node,
					 world_now_us(world_) + for_us);
		});
		break;
	case 3:
		At(at_us, [this, endpoint] {
			Say("crash endpoint " + std::to_string(endpoint));
			world_crash_endpoint(world_, endpoint);
		});
		break;
	case 4:
		At(at_us, [this, endpoint, for_us] {
			Say("stall endpoint " + std::to_string(endpoint));
			world_stall_endpoint(world_, endpoint,
					     world_now_us(world_) + for_us);
		});
		break;
	case 5:
	case 6:
		At(at_us, [this, a, b] {
			Say("cut " + std::to_string(a) + " to " +
			    std::to_string(b));
			world_cut_link(world_, a, b, true);
		});
		At(at_us + for_us,
		   [this, a, b] { world_cut_link(world_, a, b, false); });
		break;
	case 7:
		mode.refused = Chance(25);
		mode.silent = Chance(25);
		mode.extra_delay_us = Chance(50) ? Pick(0, 2 * kSecond) : 0;
		mode.lose_percent = Chance(50) ? 50 : 0;
		At(at_us, [this, mode] {
			Say("key-value service fails");
			world_set_kv_mode(world_, &mode);
		});
		At(at_us + for_us, [this] {
			struct world_kv_mode healthy = {};
			world_set_kv_mode(world_, &healthy);
		});
		break;
	case 8:
		At(at_us, [this, endpoint] {
			Say("leaving endpoint " + std::to_string(endpoint));
			leaving_since_.try_emplace(endpoint,
						   world_now_us(world_));
			world_set_leaving(world_, endpoint, Chance(50), true);
		});
		break;
	case 9:
		At(at_us, [this, node] {
			Say("drain n" + std::to_string(node));
			if (world_node_alive(world_, node))
				world_drain_node(world_, node);
		});
		At(at_us + for_us + 10 * kSecond,
		   [this, node] { world_start_node(world_, node); });
		break;
	}
}

void Script::PlanFaults()
{
	int64_t count = Pick(1, 12);

	for (int64_t i = 0; i < count; i++)
		PlanFault(Pick(kFirstCallUs, kLastCallUs));
	At(kHealedUs, [this] {
		struct world_kv_mode healthy = {};

		Say("healed");
		world_set_kv_mode(world_, &healthy);
		for (int32_t a = 0; a <= world_party_kv(world_); a++)
			for (int32_t b = 0; b <= world_party_kv(world_); b++)
				world_cut_link(world_, a, b, false);
		for (int i = 0; i < options_.node_count; i++)
			world_start_node(world_, i);
	});
}

} // namespace differential
