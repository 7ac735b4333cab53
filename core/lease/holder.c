#include "core/lease/holder.h"

#include "core/base/counters.h"

#include <string.h>

enum { RETRY_US = 1 * G_USEC_PER_SEC, RENEWALS_PER_TTL = 3 };

enum holder_state {
	HOLDER_IDLE,
	HOLDER_READING,	 /* checks whether the key exists */
	HOLDER_GRANTING, /* requests a lease */
	HOLDER_CLAIMING, /* creates the key under the lease */
	HOLDER_HOLDING	 /* renews the lease */
};

struct holder {
	struct holder_options options;
	char *key;
	char *name;
	GRand *random;
	enum holder_state state;
	bool wanted;
	uint64_t kv_id;	 /* of the call in flight; 0: none */
	int64_t sent_us; /* when the last call was sent */
	int64_t due_us;	 /* of the next call, if none is in flight */
	int64_t lease;
	int64_t lease_expires_us; /* local clock; not after the real expiry */
	int64_t fence;		  /* fencing number */
};

/*
 * Creates a holder that does not claim the key until holder_set_wanted(). It
 * copies the options, the key and the name; the caller frees it with
 * holder_destroy().
 */
struct holder *holder_create(const struct holder_options *options)
{
	struct holder *holder = g_new0(struct holder, 1);

	holder->options = *options;
	holder->key = g_strdup(options->key);
	holder->name = g_strdup(options->name);
	holder->random = g_rand_new_with_seed((guint32)options->seed);
	holder->due_us = INT64_MIN;
	return holder;
}

/* Frees the holder and leaves its lease to expire; NULL is allowed. */
void holder_destroy(struct holder *holder)
{
	if (!holder)
		return;
	g_rand_free(holder->random);
	g_free(holder->key);
	g_free(holder->name);
	g_free(holder);
}

/* Sets whether to claim and keep the key; if not, holder_step() releases it. */
void holder_set_wanted(struct holder *holder, bool wanted)
{
	holder->wanted = wanted;
}

static struct kv_request *holder_send(struct holder *holder, enum kv_op op,
				      int64_t now_us,
				      struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_KV);

	holder->kv_id = (*holder->options.next_kv_id)++;
	holder->sent_us = now_us;
	action->kv.id = holder->kv_id;
	action->kv.op = op;
	action->kv.timeout_us = holder->options.kv_timeout_us;
	if (holder->options.counters)
		counters_add(holder->options.counters, COUNTER_KV_CALLS, 1);
	return &action->kv;
}

static int64_t ttl_us(const struct holder *holder)
{
	return holder->options.ttl_s * G_USEC_PER_SEC;
}

/* Schedules the next call after a random 50 to 100 % of the delay. */
static void holder_schedule(struct holder *holder, int64_t now_us,
			    int64_t delay_us)
{
	holder->due_us =
		now_us + delay_us / 2 +
		(int64_t)(g_rand_double(holder->random) * (double)delay_us / 2);
}

/*
 * Stops acting as the holder, because the key is not or may not be held, and
 * starts over after the delay.
 */
static void holder_set_idle(struct holder *holder, int64_t now_us,
			    int64_t delay_us)
{
	holder->state = HOLDER_IDLE;
	holder->fence = 0;
	holder->lease = 0;
	holder_schedule(holder, now_us, delay_us);
}

/*
 * Stops holding the key, after an endpoint refused an order because it had
 * seen a higher fencing number. Starts over after one time to live at most.
 */
void holder_step_down(struct holder *holder, int64_t now_us)
{
	holder->kv_id = 0;
	holder_set_idle(holder, now_us, ttl_us(holder));
}

/*
 * The value to write under the key. It contains the lease and so is unique to
 * a claim: a claim whose answer was lost can be recognised by reading the key.
 */
static GBytes *claim_value(const struct holder *holder)
{
	char *text = g_strdup_printf("%s:%" G_GINT64_FORMAT, holder->name,
				     holder->lease);

	return g_bytes_new_take(text, strlen(text));
}

static void send_claim(struct holder *holder, int64_t now_us,
		       struct action_list *actions)
{
	struct kv_request *request =
		holder_send(holder, KV_CAS, now_us, actions);

	holder->state = HOLDER_CLAIMING;
	request->key = g_strdup(holder->key);
	request->value = claim_value(holder);
	request->lease = holder->lease;
}

static void send_next(struct holder *holder, int64_t now_us,
		      struct action_list *actions)
{
	if (holder->state == HOLDER_IDLE)
		holder->state = holder->options.is_sole_claimant
					? HOLDER_GRANTING
					: HOLDER_READING;
	switch (holder->state) {
	case HOLDER_IDLE:
		break;
	case HOLDER_READING:
		holder_send(holder, KV_GET, now_us, actions)->key =
			g_strdup(holder->key);
		break;
	case HOLDER_GRANTING:
		holder_send(holder, KV_LEASE_GRANT, now_us, actions)->ttl_s =
			holder->options.ttl_s;
		break;
	case HOLDER_CLAIMING:
		send_claim(holder, now_us, actions);
		break;
	case HOLDER_HOLDING:
		holder_send(holder, KV_LEASE_KEEPALIVE, now_us, actions)
			->lease = holder->lease;
		break;
	}
}

/*
 * Revokes the lease, so that another candidate can claim the key at once. The
 * fence is cleared before the call is sent, so no more orders carry it.
 */
static void holder_release(struct holder *holder, int64_t now_us,
			   struct action_list *actions)
{
	int64_t lease = holder->lease;

	holder_set_idle(holder, now_us, RETRY_US);
	holder_send(holder, KV_LEASE_REVOKE, now_us, actions)->lease = lease;
}

/*
 * Sends the next call if it is due and none is in flight: a step of a claim, a
 * renewal, or the revocation of the lease of a key that is no longer wanted.
 */
void holder_step(struct holder *holder, int64_t now_us,
		 struct action_list *actions)
{
	if (holder->kv_id)
		return;
	if (!holder->wanted) {
		if (holder->state == HOLDER_HOLDING)
			holder_release(holder, now_us, actions);
		return;
	}
	if (now_us < holder->due_us)
		return;
	send_next(holder, now_us, actions);
}

/*
 * When holder_step() must run next, in us; INT64_MAX: only after an answer or
 * holder_set_wanted().
 */
int64_t holder_next_due_us(const struct holder *holder)
{
	if (holder->kv_id)
		return INT64_MAX;
	if (!holder->wanted)
		return holder->state == HOLDER_HOLDING ? INT64_MIN : INT64_MAX;
	return holder->due_us;
}

/*
 * While another holder has the key, each candidate sends about one read per
 * time to live, and no write.
 */
static void on_read(struct holder *holder, const struct kv_answer *answer,
		    int64_t now_us, struct action_list *actions)
{
	if (answer->outcome == KV_NOT_FOUND) {
		holder->state = HOLDER_GRANTING;
		send_next(holder, now_us, actions);
		return;
	}
	holder_set_idle(holder, now_us,
			answer->outcome == KV_OK ? ttl_us(holder) : RETRY_US);
}

/*
 * The lease counts from when its request was sent, so it never lasts longer
 * here than at the key-value service.
 */
static void extend_lease(struct holder *holder, int64_t granted_s)
{
	holder->lease_expires_us =
		holder->sent_us +
		MIN(granted_s, holder->options.ttl_s) * G_USEC_PER_SEC;
}

static void on_granted(struct holder *holder, const struct kv_answer *answer,
		       int64_t now_us, struct action_list *actions)
{
	if (answer->outcome != KV_OK) {
		holder_set_idle(holder, now_us, RETRY_US);
		return;
	}
	holder->lease = answer->lease;
	extend_lease(holder, answer->ttl_s);
	send_claim(holder, now_us, actions);
}

static void holder_set_holding(struct holder *holder, int64_t fence,
			       int64_t now_us)
{
	holder->state = HOLDER_HOLDING;
	holder->fence = fence;
	holder->due_us = now_us + ttl_us(holder) / RENEWALS_PER_TTL;
}

/*
 * The key's entry, if this claim wrote it in an earlier call whose answer was
 * lost; else NULL. The answer owns the entry.
 */
static const struct kv_entry *find_own_claim(const struct holder *holder,
					     const struct kv_answer *answer)
{
	const struct kv_entry *entry;
	GBytes *value;
	bool own;

	if (!answer->entries || answer->entries->len == 0)
		return NULL;
	entry = g_ptr_array_index(answer->entries, 0);
	value = claim_value(holder);
	own = g_bytes_equal(value, entry->value);
	g_bytes_unref(value);
	return own ? entry : NULL;
}

static void on_claimed(struct holder *holder, const struct kv_answer *answer,
		       int64_t now_us)
{
	const struct kv_entry *own;

	switch (answer->outcome) {
	case KV_OK:
		holder_set_holding(holder, answer->revision, now_us);
		break;
	case KV_CONFLICT:
		own = find_own_claim(holder, answer);
		if (own)
			holder_set_holding(holder, own->create_revision,
					   now_us);
		else
			holder_set_idle(holder, now_us, ttl_us(holder));
		break;
	case KV_NOT_FOUND:
		holder_set_idle(holder, now_us, RETRY_US);
		break;
	case KV_NOT_APPLIED:
	case KV_ANSWER_LOST:
		holder->due_us = now_us + RETRY_US;
		break;
	}
}

/*
 * A successful renewal shows that the lease has not expired and that the key
 * still belongs to this holder, even if the lease had expired on the local
 * clock during an outage. If the lease is not found it has expired, and another
 * holder may have the key.
 */
static void on_renewed(struct holder *holder, const struct kv_answer *answer,
		       int64_t now_us)
{
	if (answer->outcome == KV_NOT_FOUND) {
		holder_set_idle(holder, now_us, RETRY_US);
	} else if (answer->outcome == KV_OK) {
		extend_lease(holder, answer->ttl_s);
		holder->due_us = now_us + ttl_us(holder) / RENEWALS_PER_TTL;
	} else {
		holder->due_us = now_us + RETRY_US;
	}
}

/*
 * Handles the answer to the holder's call in flight. Returns false, and does
 * nothing, if the answer belongs to another call.
 */
bool holder_kv(struct holder *holder, const struct kv_answer *answer,
	       int64_t now_us, struct action_list *actions)
{
	if (!holder->kv_id || answer->id != holder->kv_id)
		return false;
	holder->kv_id = 0;
	switch (holder->state) {
	case HOLDER_IDLE:
		break;
	case HOLDER_READING:
		on_read(holder, answer, now_us, actions);
		break;
	case HOLDER_GRANTING:
		on_granted(holder, answer, now_us, actions);
		break;
	case HOLDER_CLAIMING:
		on_claimed(holder, answer, now_us);
		break;
	case HOLDER_HOLDING:
		on_renewed(holder, answer, now_us);
		break;
	}
	return true;
}

/*
 * The fencing number to put into each order; 0: the key is not held. It does
 * not check the lease: see holder_may_act().
 */
int64_t holder_fence(const struct holder *holder)
{
	return holder->state == HOLDER_HOLDING ? holder->fence : 0;
}

/*
 * Whether an action of this duration, started now, ends at least the margin
 * before the lease can expire. After a pause of the process this already finds
 * the lease expired on the local clock, before the service has answered.
 */
bool holder_may_act(const struct holder *holder, int64_t now_us,
		    int64_t duration_us)
{
	return holder_fence(holder) != 0 &&
	       now_us + duration_us + holder->options.margin_us <=
		       holder->lease_expires_us;
}
