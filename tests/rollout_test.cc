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
	int64_t busy_until_us = 0; /* runs requests until then */
	int64_t fence = 0;	   /* highest number received */
	bool dead = false;
	bool dies_loading = false;
	int orders = 0;
	int orders_while_busy = 0; /* orders that interrupted requests */
};

struct order {
	std::string address;
	std::string target;
	int64_t fence;
};

class cluster;

/* A node with a holder and a rollout, driven in virtual time. */
class node
{
      public:
	node(cluster *w, const char *name, const char *target);
	~node();
	void step();
	int64_t due_us() const;

	cluster *w;
	std::string target;
	bool alive = true;
	bool paused = false;
	bool delay_orders = false;	 /* its orders stay in flight */
	bool lose_order_answers = false; /* orders arrive, answers are lost */
	bool kv_down = false;
	bool lose_next_write_answer = false;
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

class cluster
{
      public:
	cluster() : model(kv_model_create())
	{
		for (int i = 0; i < 8; i++) {
			std::string address = "e" + std::to_string(i) + ":1";
			engine e;

			e.domain = i % 2 ? "b" : "a";
			e.checks_fence = i < 4;
			engines[address] = e;
		}
	}

	~cluster()
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

	/* Runs in steps of 100 ms and checks the limit out of use in each. */
	bool run_until(const std::function<bool()> &done,
		       int64_t limit_us = 600 * SECOND)
	{
		int64_t end_us = now_us + limit_us;

		while (!done()) {
			if (now_us >= end_us)
				return false;
			now_us += 100 * MS;
			finish_loading();
			kv_model_expire_leases(model, now_us);
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

	enum order_outcome deliver(const order &o)
	{
		engine &e = engines[o.address];

		if (e.dead)
			return ORDER_UNCONFIRMED;
		if (e.checks_fence && o.fence < e.fence)
			return ORDER_STALE;
		e.fence = std::max(e.fence, o.fence);
		e.orders++;
		e.orders_while_busy += now_us < e.busy_until_us;
		e.dead = e.dies_loading;
		if (e.target != o.target) {
			e.loading = o.target;
			e.ready_us = now_us + LOAD_US;
		}
		return ORDER_ACCEPTED;
	}

	bool all_run(const std::string &target) const
	{
		for (const auto &e : engines) {
			if (e.second.target != target || e.second.dead)
				return false;
		}
		return true;
	}

	/* Endpoints that some node avoids; announcements of them last 30 s. */
	int out_of_use() const
	{
		int count = 0;

		for (const auto &o : taken_out) {
			auto avoided = avoided_until.find(o.first);

			count += o.second > 0 ||
				 (avoided != avoided_until.end() &&
				  avoided->second > now_us);
		}
		return count;
	}

	/* The announcements of a dead or paused node are no longer repeated. */
	void expire_announcements()
	{
		for (auto &o : taken_out) {
			if (o.second > 0)
				avoided_until[o.first] = now_us + 30 * SECOND;
			o.second = 0;
		}
	}

	struct kv_model *model;
	int64_t now_us = 1000 * SECOND;
	std::map<std::string, engine> engines;
	std::map<std::string, int> taken_out; /* by how many nodes */
	std::map<std::string, int64_t> avoided_until;
	std::vector<node *> nodes;
	std::string transcript;
	int max_out = 2;

      private:
	void finish_loading()
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

node::node(cluster *w, const char *name, const char *target)
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
	 * As in a real node, the first step may come before it is due. Each
	 * step may make the next one due, but that must end within 100 steps.
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
		if (kv_down ||
		    (lose_next_write_answer && action->kv.op == KV_CAS)) {
			kv_answer_clear(&answer);
			answer = {};
			answer.id = action->kv.id;
			answer.op = action->kv.op;
			answer.outcome = KV_ANSWER_LOST;
			lose_next_write_answer = false;
		}
		EXPECT_TRUE(holder_kv(holder, &answer, w->now_us, next) ||
			    rollout_handle_kv(rollout, &answer, w->now_us));
		kv_answer_clear(&answer);
	}
	if (action_list_count(next))
		serve_kv(next);
	action_list_destroy(next);
}

void node::send(const order &o)
{
	enum order_outcome outcome = w->deliver(o);

	if (lose_order_answers)
		outcome = ORDER_UNCONFIRMED;
	struct event_order event = {o.address.c_str(), outcome};

	rollout_handle_order(rollout, &event, w->now_us);
}

void node::read(const char *address)
{
	const engine &e = w->engines[address];
	struct event_order_state state = {
		address, e.dead ? nullptr : e.target.c_str(),
		!e.loading.empty(), w->now_us < e.busy_until_us};

	rollout_handle_order_state(rollout, &state, w->now_us);
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
			w->taken_out[effect->address]++;
			break;
		case ROLLOUT_PUT_BACK:
			w->taken_out[effect->address]--;
			w->avoided_until[effect->address] =
				w->now_us + 30 * SECOND;
			break;
		case ROLLOUT_READ:
			read(effect->address);
			break;
		case ROLLOUT_ORDER:
			if (delay_orders)
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
	cluster w;
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
 * Guards against an order that interrupts requests. An endpoint that is busy
 * when its batch begins is ordered only when its requests have finished. One
 * that does not finish in time is a failure and is never ordered.
 */
TEST(Rollout, WaitsForRequestsToFinish)
{
	cluster w;
	node *n = w.add("n1");

	w.engines["e0:1"].busy_until_us = w.now_us + 40 * SECOND;
	w.engines["e1:1"].busy_until_us = w.now_us + 4000 * SECOND;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	for (const auto &e : w.engines)
		EXPECT_EQ(0, e.second.orders_while_busy) << e.first;
	EXPECT_EQ("v2", w.engines["e0:1"].target);
	EXPECT_EQ("v1", w.engines["e1:1"].target);
	EXPECT_EQ(1, w.taken_out["e1:1"]);
}

/*
 * Guards against a rollout that cannot be continued after the holder died, at
 * any time in its course, with its state in memory lost. Another node claims
 * the key when the lease has expired, reads what each endpoint runs and
 * continues. It does not order an endpoint that already runs the target.
 */
TEST(Rollout, NewHolderGoesOnWhereverTheOldOneDied)
{
	for (int64_t at_us = 0; at_us < 200 * SECOND; at_us += 2 * SECOND) {
		cluster w;
		node *first = w.add("n1");
		node *second;

		w.run(at_us);
		first->alive = false;
		w.expire_announcements();
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
 * Guards against a late order that undoes a newer rollout. The holder is paused
 * for longer than its lease with an order in flight, while a new holder rolls
 * out the next version. An engine that checks the fencing number refuses the
 * late order and keeps the new target, and the old holder then gives up the
 * key.
 */
TEST(Rollout, LateOrderIsRefusedByItsNumber)
{
	cluster w;
	node *paused = w.add("n1", "v2");
	node *holder;
	struct event_order refused = {"e0:1", ORDER_STALE};

	paused->delay_orders = true;
	ASSERT_TRUE(w.run_until([&] { return !paused->late.empty(); }));
	ASSERT_EQ("e0:1", paused->late[0].address);
	paused->paused = true;
	w.expire_announcements();
	holder = w.add("n2", "v3");
	ASSERT_TRUE(w.run_until([&] { return is_done(holder); }));
	EXPECT_EQ(ORDER_STALE, w.deliver(paused->late[0]));
	rollout_handle_order(paused->rollout, &refused, w.now_us);
	EXPECT_EQ(0, holder_fence(paused->holder));
	w.run(60 * SECOND);
	EXPECT_TRUE(w.all_run("v3"));
}

/*
 * Guards against a late order at an engine that does not check the fencing
 * number and accepts it. The new holder has finished by then. It keeps reading
 * back, finds the older target and orders the new one again.
 */
TEST(Rollout, LateOrderIsCorrectedWhereNumbersAreNotChecked)
{
	cluster w;
	node *holder = w.add("n2", "v3");
	order late = {"e5:1", "v2", 1};

	ASSERT_TRUE(w.run_until([&] { return is_done(holder); }));
	EXPECT_EQ(ORDER_ACCEPTED, w.deliver(late));
	w.run(LOAD_US + SECOND);
	ASSERT_TRUE(w.run_until(
		[&] { return is_done(holder) && w.all_run("v3"); }));
	EXPECT_EQ(3, w.engines["e5:1"].orders);
}

/*
 * Guards against an order of a holder that resumes after a pause longer than
 * its lease, with its next order due. By its own clock the lease has expired,
 * so it sends none, even before it gets an answer from the key-value service.
 */
TEST(Rollout, HolderThatWakesSendsNoOrder)
{
	cluster w;
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
 * Guards against two holders' orders crossing. A new holder sends its first
 * order to an engine that does not check the fencing number only when the last
 * order of the earlier holder must have arrived.
 */
TEST(Rollout, NewHolderWaitsOutTheLongestOrder)
{
	cluster w;
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
 * Guards against lost answers to the claim, to a write of the stored state and
 * to each order. The holder recognises its own claim by its value, and reading
 * back settles the other cases without a second order.
 */
TEST(Rollout, LostAnswersAreSettledByReading)
{
	cluster w;
	node *n = w.add("n1");

	n->lose_next_write_answer = true;
	n->lose_order_answers = true;
	ASSERT_TRUE(w.run_until([&] { return holder_fence(n->holder) != 0; }));
	EXPECT_EQ(2, holder_fence(n->holder));
	n->lose_next_write_answer = true;
	ASSERT_TRUE(w.run_until([&] { return is_done(n); }));
	EXPECT_TRUE(w.all_run("v2"));
	for (const auto &e : w.engines)
		EXPECT_EQ(1, e.second.orders) << e.first;
}

/*
 * Guards against a rollout that continues above the limit on failures. Two
 * engines die while they load: the first is within the limit, the second is
 * over it. The rollout then stops with a reason and begins no further batch,
 * neither at this holder nor at a later one.
 */
TEST(Rollout, StopsByItselfAboveTheLimit)
{
	cluster w;
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
	w.expire_announcements();
	next = w.add("n2");
	before = w.transcript;
	ASSERT_TRUE(w.run_until([&] {
		return rollout_phase(next->rollout) == ROLLOUT_STOPPED;
	}));
	w.run(60 * SECOND);
	EXPECT_STREQ(rollout_reason(n->rollout), rollout_reason(next->rollout));
	EXPECT_EQ(before + "out e0:1\nout e6:1\n", w.transcript);
}

/*
 * Guards against a batch that leaves too few endpoints in use. A dead engine
 * counts as out of use, so the rollout stops with a reason.
 */
TEST(Rollout, KeepsEnoughInUse)
{
	cluster w;
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
 * Guards against orders during an outage of the key-value service. It lasts for
 * minutes: the lease cannot be renewed and no order is sent; afterwards the
 * rollout is finished.
 */
TEST(Rollout, OutageOfTheServicePausesIt)
{
	cluster w;
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
