#include "core/placement/wait_queue.h"

/* This much waiting raises the priority by one level. */
#define AGEING_US (10 * G_USEC_PER_SEC)
/*
 * A request that must start within URGENT_US is ordered as if its organisation
 * had been served URGENT_CREDIT_TOKENS fewer.
 */
#define URGENT_US (2 * G_USEC_PER_SEC)
#define URGENT_CREDIT_TOKENS 2000.0 /* per weight */

struct wait_queue {
	GHashTable *by_name;
	GPtrArray *organisations; /* struct queue_organisation */
	double virtual_time;
	uint32_t length;
};

static void queue_organisation_destroy(gpointer data)
{
	struct queue_organisation *organisation = data;

	for (int32_t i = 0; i < QUEUE_LANES; i++)
		g_sequence_free(organisation->lanes[i]);
	g_free(organisation->name);
	g_free(organisation);
}

/* Creates an empty queue; the caller owns it. */
struct wait_queue *wait_queue_create(void)
{
	struct wait_queue *queue = g_new0(struct wait_queue, 1);

	queue->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	queue->organisations =
		g_ptr_array_new_with_free_func(queue_organisation_destroy);
	return queue;
}

/* Frees the queue, not the entries; NULL is allowed. */
void wait_queue_destroy(struct wait_queue *queue)
{
	if (!queue)
		return;
	g_hash_table_unref(queue->by_name);
	g_ptr_array_unref(queue->organisations);
	g_free(queue);
}

/*
 * Finds or creates the organisation of this name and sets its weight, at least
 * 1. The queue owns the result.
 */
struct queue_organisation *wait_queue_organisation(struct wait_queue *queue,
						   const char *name,
						   int32_t weight)
{
	struct queue_organisation *organisation =
		g_hash_table_lookup(queue->by_name, name);

	if (!organisation) {
		organisation = g_new0(struct queue_organisation, 1);
		organisation->name = g_strdup(name);
		for (int32_t i = 0; i < QUEUE_LANES; i++)
			organisation->lanes[i] = g_sequence_new(NULL);
		g_ptr_array_add(queue->organisations, organisation);
		g_hash_table_insert(queue->by_name, organisation->name,
				    organisation);
	}
	organisation->weight = MAX(weight, 1);
	return organisation;
}

static int64_t queue_entry_order_us(const struct queue_entry *entry)
{
	return entry->start_by_us - entry->priority * AGEING_US;
}

static gint queue_entry_compare(gconstpointer a, gconstpointer b,
				G_GNUC_UNUSED gpointer data)
{
	const struct queue_entry *x = a;
	const struct queue_entry *y = b;
	int64_t rank_x = queue_entry_order_us(x);
	int64_t rank_y = queue_entry_order_us(y);

	if (rank_x != rank_y)
		return rank_x < rank_y ? -1 : 1;
	return x->arrival_us < y->arrival_us ? -1
					     : x->arrival_us > y->arrival_us;
}

/*
 * Adds an entry, of which all members but iter are set. An organisation that
 * had nothing waiting continues from the present virtual time, so that an idle
 * time does not allow a burst later.
 */
void wait_queue_push(struct wait_queue *queue, struct queue_entry *entry)
{
	struct queue_organisation *organisation = entry->organisation;

	if (organisation->waiting == 0)
		organisation->virtual_finish =
			MAX(organisation->virtual_finish, queue->virtual_time);
	entry->iter =
		g_sequence_insert_sorted(organisation->lanes[entry->lane],
					 entry, queue_entry_compare, NULL);
	organisation->waiting++;
	organisation->waiting_tokens += entry->tokens;
	queue->length++;
}

/* Removes an entry; does nothing if it is not in the queue. */
void wait_queue_remove(struct wait_queue *queue, struct queue_entry *entry)
{
	if (!entry->iter)
		return;
	g_sequence_remove(entry->iter);
	entry->iter = NULL;
	entry->organisation->waiting--;
	entry->organisation->waiting_tokens -= entry->tokens;
	queue->length--;
}

/*
 * Charges tokens to an organisation: the estimate when one of its requests is
 * placed (served is true), and the difference to it, which may be negative,
 * when the request ends.
 */
void wait_queue_charge(struct wait_queue *queue,
		       struct queue_organisation *organisation, double tokens,
		       bool served)
{
	if (served)
		queue->virtual_time =
			MAX(queue->virtual_time, organisation->virtual_finish);
	organisation->virtual_finish += tokens / organisation->weight;
}

static int64_t queue_entry_aged_priority(const struct queue_entry *entry,
					 int64_t now_us)
{
	return entry->priority + (now_us - entry->arrival_us) / AGEING_US;
}

static double queue_entry_virtual_start(const struct queue_entry *entry,
					int64_t now_us)
{
	double virtual_start = entry->organisation->virtual_finish;

	if (entry->start_by_us - now_us < URGENT_US)
		virtual_start -= URGENT_CREDIT_TOKENS;
	return virtual_start;
}

static bool queue_entry_before(const struct queue_entry *x,
			       const struct queue_entry *y, int64_t now_us)
{
	int64_t level_x = queue_entry_aged_priority(x, now_us);
	int64_t level_y = queue_entry_aged_priority(y, now_us);

	if (level_x != level_y)
		return level_x > level_y;
	return queue_entry_virtual_start(x, now_us) <
	       queue_entry_virtual_start(y, now_us);
}

/*
 * Fills heads with the first entry of each organisation in a lane, in the order
 * in which to serve them; at most max_heads. Returns their number.
 */
uint32_t wait_queue_heads(struct wait_queue *queue, enum queue_lane lane,
			  int64_t now_us, struct queue_entry **heads,
			  uint32_t max_heads)
{
	uint32_t count = 0;

	for (guint i = 0; i < queue->organisations->len; i++) {
		struct queue_organisation *organisation =
			g_ptr_array_index(queue->organisations, i);
		GSequenceIter *first =
			g_sequence_get_begin_iter(organisation->lanes[lane]);
		struct queue_entry *entry;
		uint32_t at;

		if (g_sequence_iter_is_end(first))
			continue;
		entry = g_sequence_get(first);
		if (count < max_heads)
			count++;
		else if (!queue_entry_before(entry, heads[count - 1], now_us))
			continue;
		for (at = count - 1;
		     at > 0 && queue_entry_before(entry, heads[at - 1], now_us);
		     at--)
			heads[at] = heads[at - 1];
		heads[at] = entry;
	}
	return count;
}

/*
 * Picks the entry to refuse when the queue is too long: the last one of the
 * organisation with the most waiting tokens per weight, long requests first. A
 * flood of requests thus displaces itself and not the requests that others
 * submit meanwhile. NULL if the queue is empty.
 */
struct queue_entry *wait_queue_pick_overflow(const struct wait_queue *queue)
{
	struct queue_organisation *heaviest = NULL;
	GSequenceIter *last;
	GSequence *lane;

	for (guint i = 0; i < queue->organisations->len; i++) {
		struct queue_organisation *organisation =
			g_ptr_array_index(queue->organisations, i);

		if (organisation->waiting &&
		    (!heaviest ||
		     organisation->waiting_tokens / organisation->weight >
			     heaviest->waiting_tokens / heaviest->weight))
			heaviest = organisation;
	}
	if (!heaviest)
		return NULL;
	lane = heaviest->lanes[QUEUE_LONG];
	if (g_sequence_is_empty(lane))
		lane = heaviest->lanes[QUEUE_SHORT];
	last = g_sequence_iter_prev(g_sequence_get_end_iter(lane));
	return g_sequence_get(last);
}

/*
 * Estimates the tokens that are served before an entry under fair queueing:
 * those of its own organisation before it, and for each other organisation the
 * same number scaled by the ratio of the weights, but at most its waiting
 * tokens.
 */
double wait_queue_tokens_ahead(const struct wait_queue *queue,
			       const struct queue_entry *entry)
{
	const struct queue_organisation *own = entry->organisation;
	double before = 0;
	double others = 0;

	if (!entry->iter || own->waiting == 0)
		return 0;
	before = own->waiting_tokens / own->waiting *
		 g_sequence_iter_get_position(entry->iter);
	for (guint i = 0; i < queue->organisations->len; i++) {
		const struct queue_organisation *other =
			g_ptr_array_index(queue->organisations, i);

		if (other != own)
			others += MIN(other->waiting_tokens,
				      before * other->weight / own->weight);
	}
	return before + others;
}

/* Number of entries in the queue. */
uint32_t wait_queue_length(const struct wait_queue *queue)
{
	return queue->length;
}

/* Calls visit(entry, data) for each entry; visit may remove that entry. */
void wait_queue_foreach(struct wait_queue *queue, GFunc visit, gpointer data)
{
	for (guint i = 0; i < queue->organisations->len; i++) {
		struct queue_organisation *organisation =
			g_ptr_array_index(queue->organisations, i);

		for (int32_t lane = 0; lane < QUEUE_LANES; lane++) {
			GSequenceIter *iter = g_sequence_get_begin_iter(
				organisation->lanes[lane]);

			while (!g_sequence_iter_is_end(iter)) {
				gpointer entry = g_sequence_get(iter);

				iter = g_sequence_iter_next(iter);
				visit(entry, data);
			}
		}
	}
}
