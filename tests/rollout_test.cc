#include "core/rollout/rollout.h"
#include "fakes/kv_model.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

const int64_t MS = 1000;
const int64_t SECOND = G_USEC_PER_SEC;
const int64_t LOAD_US = 5 * SECOND;

struct engine {
	std::string domain;
	bool checks_fence;
	std::string target = "v1";
	std::string loading; /* becomes the target at ready_us */
	int64_t ready_us = 0;
	int64_t busy_until_us = 0; /* has requests until then */
	int64_t fence = 0;	   /* highest seen */
	bool dead = false;
	bool dies_loading = false;
	int orders = 0;
	int ordered_busy = 0; /* orders that cut requests */
};

struct order {
	std::string address;
	std::string target;
	int64_t fence;
};

class world;

/* One node: a holder and a rollout, driven in virtual time. */
class node
{
      public:
	node(world *w, const char *name, const char *target);
	~node();
	void step();
	int64_t due_us() const;

	world *w;
	std::string target;
	bool alive = true;
	bool paused = false;
	bool hold_orders = false; /* its orders stay on their way */
	bool lose_orders = false; /* taken, their answers lost */
	bool kv_down = false;
	bool kv_loses = false;
	std::vector<order> late;
	struct holder *holder;
	struct rollout *rollout;
	uint64_t next_kv_id = 1;
	int writes = 0;

      private:
	void serve_kv(struct action_list *actions);
	void serve(GArray *effects);
	void send(const order &o);
	void read(const char *address);
};

class world
{
      public:
	world() : model(kv_model_create())
	{
		for (int i = 0; i < 8; i++) {
			std::string address = "e" + std::to_string(i) + ":1";
			engine e;

			e.domain = i % 2 ? "b" : "a";
			e.checks_fence = i < 4;
			engines[address] = e;
		}
	}

	~world()
	{
		for (auto *n : nodes)
			delete n;
		kv_model_destroy(model);
	}

	node *add(const char *name, const char *target = "v2")
	{
		nodes.push_back(new node(this, name, target));
		return nodes.back();
	}

	/* Runs in steps of 100 ms, and checks what must hold in each. */
	bool run_until(const std::function<bool()> &done,
		       int64_t limit_us = 600 * SECOND)
	{
		int64_t end_us = now_us + limit_us;

		while (!done()) {
			if (now_us >= end_us)
				return false;
			now_us += 100 * MS;
			settle_engines();
			kv_model_step(model, now_us);
			for (auto *n : nodes)
				n->step();
			EXPECT_LE(out_of_use(), max_out);
		}
		return true;
	}

	void run(int64_t us)
	{
		run_until([] { return false; }, us);
	}

	enum order_outcome take(const order &o)
	{
		engine &e = engines[o.address];

		if (e.dead)
			return ORDER_LOST;
		if (e.checks_fence && o.fence < e.fence)
			return ORDER_STALE;
		e.fence = std::max(e.fence, o.fence);
		e.orders++;
		e.ordered_busy += now_us < e.busy_until_us;
		e.dead = e.dies_loading;
		if (e.target != o.target) {
			e.loading = o.target;
			e.ready_us = now_us + LOAD_US;
		}
		return ORDER_TAKEN;
	}

	bool all_run(const std::string &target) const
	{
		for (const auto &e : engines) {
			if (e.second.target != target || e.second.dead)
				return false;
		}
		return true;
	}

	/* Endpoints that some node spares; words of them last 30 s. */
	int out_of_use() const
	{
		int count = 0;

		for (const auto &o : out) {
			auto spared = spared_until.find(o.first);

			count +=
				o.second > 0 || (spared != spared_until.end() &&
						 spared->second > now_us);
		}
		return count;
	}

	/* What a node that is gone has said is repeated no more. */
	void forget_words()
	{
		for (auto &o : out) {
			if (o.second > 0)
				spared_until[o.first] = now_us + 30 * SECOND;
			o.second = 0;
		}
	}

	struct kv_model *model;
	int64_t now_us = 1000 * SECOND;
	std::map<std::string, engine> engines;
	std::map<std::string, int> out; /* nodes that took it out */
	std::map<std::string, int64_t> spared_until;
	std::vector<node *> nodes;
	std::string transcript;
	int max_out = 2;

      private:
	void settle_engines()
	{
		for (auto &e : engines) {
			if (!e.second.dead && !e.second.loading.empty() &&
			    now_us >= e.second.ready_us) {
				e.second.target = e.second.loading;
				e.second.loading.clear();
			}
		}
	}
};

node::node(world *w, const char *name, const char *target)
    : w(w), target(target)
{
	struct holder_options held = {};
	struct rollout_options options;
	std::vector<struct rollout_endpoint_spec> specs;

	held.key = "/siskinlink/rollout";
	held.name = name;
	held.seed = 1;
	held.next_kv_id = &next_kv_id;
	held.ttl_s = 15;
	held.margin_us = 2 * SECOND;
	held.kv_timeout_us = 2 * SECOND;
	holder = holder_create(&held);
	holder_set_wanted(holder, true);
	for (const auto &e : w->engines)
		specs.push_back({e.first.c_str(), e.second.domain.c_str(),
				 e.second.checks_fence});
	rollout_options_default(&options);
	options.id = target;
	options.target = this->target.c_str();
	options.endpoints = specs.data();
	options.endpoint_count = specs.size();
	options.next_kv_id = &next_kv_id;
	options.drain_timeout_us = 60 * SECOND;
	options.load_timeout_us = 30 * SECOND;
	rollout = rollout_create(&options, holder);
}

node::~node()
{
	rollout_destroy(rollout);
	holder_destroy(holder);
}

int64_t node::due_us() const
{
	return std::min(holder_next_due_us(holder),
			rollout_next_due_us(rollout));
}

void node::step()
{
	if (!alive || paused)
		return;
	/*
	 * As in a node, a step may come before it is due. Each may make the
	 * next one due; it must come to rest.
	 */
	for (int i = 0; i == 0 || (i < 100 && due_us() <= w->now_us); i++) {
		struct action_list *actions = action_list_create();
		GArray *effects = g_array_new(FALSE, FALSE,
					      sizeof(struct rollout_effect));

		holder_step(holder, w->now_us, actions);
		rollout_step(rollout, w->now_us, actions, effects);
		serve(effects);
		serve_kv(actions);
		g_array_unref(effects);
		action_list_destroy(actions);
	}
	EXPECT_GT(due_us(), w->now_us);
}

void node::serve_kv(struct action_list *actions)
{
	struct action_list *next = action_list_create();

	for (size_t i = 0; i < action_list_count(actions); i++) {
		struct action *action = action_list_get(actions, i);
		struct kv_answer answer = {};

		if (action->type != ACTION_KV)
			continue;
		writes += action->kv.op == KV_CAS;
		if (!kv_down)
			kv_model_answer(w->model, &action->kv, w->now_us,
					&answer);
		if (kv_down || (kv_loses && action->kv.op == KV_CAS)) {
			kv_answer_clear(&answer);
			answer = {};
			answer.id = action->kv.id;
			answer.op = action->kv.op;
			answer.outcome = KV_ANSWER_LOST;
			kv_loses = false;
		}
		EXPECT_TRUE(holder_kv(holder, &answer, w->now_us, next) ||
			    rollout_kv(rollout, &answer, w->now_us));
		kv_answer_clear(&answer);
	}
	if (action_list_count(next))
		serve_kv(next);
	action_list_destroy(next);
}

void node::send(const order &o)
{
	enum order_outcome outcome = w->take(o);

	if (lose_orders)
		outcome = ORDER_LOST;
	struct event_order event = {o.address.c_str(), outcome};

	rollout_order(rollout, &event, w->now_us);
}

void node::read(const char *address)
{
	const engine &e = w->engines[address];
	struct event_order_state state = {
		address, e.dead ? nullptr : e.target.c_str(),
		!e.loading.empty(), w->now_us < e.busy_until_us};

	rollout_order_state(rollout, &state, w->now_us);
}

void node::serve(GArray *effects)
{
	static const char *const names[] = {"out", "in", "read", "order"};

	for (guint i = 0; i < effects->len; i++) {
		const struct rollout_effect *effect =
			&g_array_index(effects, struct rollout_effect, i);

		if (effect->type != ROLLOUT_READ)
			w->transcript += std::string(names[effect->type]) +
					 " " + effect->address + "\n";
		switch (effect->type) {
		case ROLLOUT_TAKE_OUT:
			w->out[effect->address]++;
			break;
		case ROLLOUT_PUT_IN:
			w->out[effect->address]--;
			w->spared_until[effect->address] =
				w->now_us + 30 * SECOND;
			break;
		case ROLLOUT_READ:
			read(effect->address);
			break;
		case ROLLOUT_ORDER:
			if (hold_orders)
				late.push_back({effect->address, target,
						effect->fence});
			else
				send({effect->address, target, effect->fence});
			break;
		}
	}
}

bool is_done(const node *n)
{
	return rollout_phase(n->rollout) == ROLLOUT_DONE;
}

} // namespace

TEST(Rollout, GoesThroughFailureDomainsInBatches)
{
	world w;
	node *n = w.add("n1");

	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	EXPECT_TRUE(w.all_run("v2"));
	w.run(30 * SECOND);
	EXPECT_EQ(0, w.out_of_use());
	EXPECT_EQ("out e0:1\nout e2:1\norder e0:1\norder e2:1\nin e0:1\n"
		  "in e2:1\nout e4:1\nout e6:1\norder e4:1\norder e6:1\n"
		  "in e4:1\nin e6:1\nout e1:1\nout e3:1\norder e1:1\n"
		  "order e3:1\nin e1:1\nin e3:1\nout e5:1\nout e7:1\n"
		  "order e5:1\norder e7:1\nin e5:1\nin e7:1\n",
		  w.transcript);
	EXPECT_EQ(3, n->writes); /* the key, running, done */
}

/*
 * An endpoint still serves a report when its turn comes. It gets no new work
 * and is ordered only when the report is whole; one that never gets done is a
 * failure and is not ordered at all.
 */
TEST(Rollout, WaitsForRequestsToFinish)
{
	world w;
	node *n = w.add("n1");

	w.engines["e0:1"].busy_until_us = w.now_us + 40 * SECOND;
	w.engines["e1:1"].busy_until_us = w.now_us + 4000 * SECOND;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	for (const auto &e : w.engines)
		EXPECT_EQ(0, e.second.ordered_busy) << e.first;
	EXPECT_EQ("v2", w.engines["e0:1"].target);
	EXPECT_EQ("v1", w.engines["e1:1"].target);
	EXPECT_EQ(1, w.out["e1:1"]);
}

/*
 * The holder dies at each step of the way, together with what it remembers.
 * Another node takes the key when the lease has lapsed, reads what runs where
 * and goes on; nothing is ordered that has the target already.
 */
TEST(Rollout, NewHolderGoesOnWhereverTheOldOneDied)
{
	for (int64_t at_us = 0; at_us < 200 * SECOND; at_us += 2 * SECOND) {
		world w;
		node *first = w.add("n1");
		node *second;

		w.run(at_us);
		first->alive = false;
		w.forget_words();
		second = w.add("n2");
		ASSERT_TRUE(w.run_until([&] { return is_done(second); }));
		EXPECT_TRUE(w.all_run("v2")) << at_us;
		w.run(30 * SECOND);
		EXPECT_EQ(0, w.out_of_use());
		for (const auto &e : w.engines)
			EXPECT_LE(e.second.orders, 2) << e.first << at_us;
	}
}

/*
 * The holder is paused with an order on its way, for longer than its lease.
 * Meanwhile a new holder rolls out the next version. The old order arrives at
 * an engine that checks the number: it is refused, the engine keeps the new
 * target, and the old holder, when it wakes, stops.
 */
TEST(Rollout, LateOrderIsRefusedByItsNumber)
{
	world w;
	node *paused = w.add("n1", "v2");
	node *holder;
	struct event_order refused = {"e0:1", ORDER_STALE};

	paused->hold_orders = true;
	ASSERT_TRUE(w.run_until([&] { return !paused->late.empty(); }));
	ASSERT_EQ("e0:1", paused->late[0].address);
	paused->paused = true;
	w.forget_words();
	holder = w.add("n2", "v3");
	ASSERT_TRUE(w.run_until([&] { return is_done(holder); }));
	EXPECT_EQ(ORDER_STALE, w.take(paused->late[0]));
	rollout_order(paused->rollout, &refused, w.now_us);
	EXPECT_EQ(0, holder_fence(paused->holder));
	w.run(60 * SECOND);
	EXPECT_TRUE(w.all_run("v3"));
}

/*
 * The same, but the engine checks no numbers and takes the late order. The new
 * holder has finished by then; it goes on reading back, finds the older
 * target, and orders the new one again.
 */
TEST(Rollout, LateOrderIsCorrectedWhereNumbersAreNotChecked)
{
	world w;
	node *holder = w.add("n2", "v3");
	order late = {"e5:1", "v2", 1};

	ASSERT_TRUE(w.run_until([&] { return is_done(holder); }));
	EXPECT_EQ(ORDER_TAKEN, w.take(late));
	w.run(LOAD_US + SECOND);
	ASSERT_TRUE(w.run_until(
		[&] { return is_done(holder) && w.all_run("v3"); }));
	EXPECT_EQ(3, w.engines["e5:1"].orders);
}

/*
 * A paused holder wakes after its lease has lapsed, with everything ready for
 * its next order. By its own clock the lease is over, so it sends none, even
 * though it has not heard from the service yet.
 */
TEST(Rollout, HolderThatWakesSendsNoOrder)
{
	world w;
	node *n = w.add("n1");
	int orders;

	for (auto &e : w.engines)
		e.second.busy_until_us = w.now_us + 5 * SECOND;
	w.run(4 * SECOND);
	n->paused = true;
	w.run(30 * SECOND);
	n->paused = false;
	n->kv_down = true;
	w.run(60 * SECOND);
	orders = 0;
	for (const auto &e : w.engines)
		orders += e.second.orders;
	EXPECT_EQ(0, orders);
	n->kv_down = false;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	EXPECT_TRUE(w.all_run("v2"));
}

/*
 * A new holder's first order to an engine that checks no numbers comes only
 * when the earlier holder's last one must have arrived.
 */
TEST(Rollout, NewHolderWaitsOutTheLongestOrder)
{
	world w;
	node *n;
	int64_t held_us = 0;

	for (auto &e : w.engines)
		e.second.checks_fence = false;
	n = w.add("n1");
	ASSERT_TRUE(w.run_until([&] { return holder_fence(n->holder) != 0; }));
	held_us = w.now_us;
	ASSERT_TRUE(w.run_until([&] {
		return w.transcript.find("order") != std::string::npos;
	}));
	EXPECT_GE(w.now_us - held_us, 2 * SECOND);
}

/*
 * Answers are lost: of the claim, of the stored state and of each order. The
 * claim is found to be its own by its value, and reading back tells the rest.
 */
TEST(Rollout, LostAnswersAreSettledByReading)
{
	world w;
	node *n = w.add("n1");

	n->kv_loses = true;
	n->lose_orders = true;
	ASSERT_TRUE(w.run_until([&] { return holder_fence(n->holder) != 0; }));
	EXPECT_EQ(2, holder_fence(n->holder));
	n->kv_loses = true;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	EXPECT_TRUE(w.all_run("v2"));
	for (const auto &e : w.engines)
		EXPECT_EQ(1, e.second.orders) << e.first;
}

/*
 * Engines die while they load. The first is within the limit and the rollout
 * goes on; the second is over it. The rollout stops, says why, and begins
 * nothing more, neither here nor at a holder that comes after.
 */
TEST(Rollout, StopsByItselfAboveTheLimit)
{
	world w;
	node *n = w.add("n1");
	node *next;
	std::string before;

	w.engines["e0:1"].dies_loading = true;
	w.engines["e6:1"].dies_loading = true;
	ASSERT_TRUE(w.run_until(
		[&] { return rollout_phase(n->rollout) == ROLLOUT_STOPPED; }));
	EXPECT_STREQ("2 endpoints failed, at most 1 allowed; the last, e6:1, "
		     "did not reach the target",
		     rollout_reason(n->rollout));
	EXPECT_EQ("v1", w.engines["e1:1"].target);
	w.run(60 * SECOND);
	n->alive = false;
	w.forget_words();
	next = w.add("n2");
	before = w.transcript;
	ASSERT_TRUE(w.run_until([&] {
		return rollout_phase(next->rollout) == ROLLOUT_STOPPED;
	}));
	w.run(60 * SECOND);
	EXPECT_STREQ(rollout_reason(n->rollout), rollout_reason(next->rollout));
	EXPECT_EQ(before + "out e0:1\nout e6:1\n", w.transcript);
}

/* A dead engine leaves too few in use for the next batch: stop, say so. */
TEST(Rollout, KeepsEnoughInUse)
{
	world w;
	node *n;

	w.engines.erase("e4:1");
	w.engines.erase("e5:1");
	w.engines.erase("e6:1");
	w.engines.erase("e7:1");
	w.max_out = 1;
	w.engines["e2:1"].dead = true;
	n = w.add("n1");
	ASSERT_TRUE(w.run_until(
		[&] { return rollout_phase(n->rollout) == ROLLOUT_STOPPED; }));
	EXPECT_STREQ("taking out one more endpoint would leave too few in use",
		     rollout_reason(n->rollout));
	EXPECT_EQ("v1", w.engines["e0:1"].target);
}

/*
 * The service is away for minutes in the middle. The lease cannot be renewed,
 * no order is sent meanwhile, and the rollout is finished afterwards.
 */
TEST(Rollout, OutageOfTheServicePausesIt)
{
	world w;
	node *n = w.add("n1");
	std::string before;

	w.run(12 * SECOND);
	n->kv_down = true;
	w.run(20 * SECOND);
	before = w.transcript;
	w.run(180 * SECOND);
	EXPECT_EQ(std::string::npos,
		  w.transcript.substr(before.size()).find("order"));
	n->kv_down = false;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	EXPECT_TRUE(w.all_run("v2"));
}
