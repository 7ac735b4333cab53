#include "core/limit/loss_gossip.h"

#include "core/membership/gossip_pace.h"

/* As many losses fit into one datagram; with more, each record has others. */
#define LOSSES_PER_RECORD 28

/* Losses that are announced at once; gossip tells of further ones. */
#define MAX_ANNOUNCED (8 * LOSSES_PER_RECORD)

static const struct gossip_schedule schedule = {
	.fresh_us = 3 * G_USEC_PER_SEC,
	.fresh_period_us = 100 * 1000,
	.fresh_receivers = 3,
	.stale_period_us = G_USEC_PER_SEC,
};

struct loss_gossip {
	struct quarantine *quarantine;
	GRand *random;
	struct loss_gossip_host host;
	struct gossip_pace pace;
};

/*
 * Creates the exchange of a quarantine and copies the host. Quarantine and
 * random must outlive it. The caller frees it with loss_gossip_destroy.
 */
struct loss_gossip *loss_gossip_create(struct quarantine *quarantine,
				       GRand *random,
				       const struct loss_gossip_host *host)
{
	struct loss_gossip *gossip = g_new0(struct loss_gossip, 1);

	gossip->quarantine = quarantine;
	gossip->random = random;
	gossip->host = *host;
	return gossip;
}

/* Frees the exchange; NULL is allowed. */
void loss_gossip_destroy(struct loss_gossip *gossip)
{
	g_free(gossip);
}

/* Sends news to all nodes; the host is told of each suspect once. */
static void announce_news(struct loss_gossip *gossip, int64_t now_us)
{
	const struct loss_gossip_host *host = &gossip->host;
	GArray *news = g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
	uint64_t told = 0;

	quarantine_take_news(gossip->quarantine, news, now_us);
	if (news->len > 0)
		gossip->pace.changed_us = now_us;
	for (guint i = 0; i < news->len; i++) {
		const struct peer_loss *loss =
			&g_array_index(news, struct peer_loss, i);

		if (loss->key != told)
			host->changed(host->data, loss->key, "this node");
		told = loss->key;
	}
	for (guint i = 0; i < MIN(news->len, MAX_ANNOUNCED);
	     i += LOSSES_PER_RECORD)
		host->send_to_all(host->data,
				  &g_array_index(news, struct peer_loss, i),
				  MIN(news->len - i, LOSSES_PER_RECORD));
	g_array_unref(news);
}

/* Adds losses that the quarantine knows, as many as fit into one record. */
void loss_gossip_add_known(const struct loss_gossip *gossip, GArray *losses,
			   int64_t now_us)
{
	quarantine_add_known(gossip->quarantine, LOSSES_PER_RECORD,
			     g_rand_double(gossip->random), losses, now_us);
}

/* Passes on what is due. */
void loss_gossip_step(struct loss_gossip *gossip, int64_t now_us)
{
	const struct loss_gossip_host *host = &gossip->host;
	GArray *known;
	size_t receivers;

	announce_news(gossip, now_us);
	if (quarantine_take_changed(gossip->quarantine))
		gossip->pace.changed_us = now_us;
	if (quarantine_count(gossip->quarantine) == 0)
		return;
	receivers =
		gossip_pace_count_receivers(&gossip->pace, &schedule, now_us);
	if (receivers == 0)
		return;
	known = g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
	loss_gossip_add_known(gossip, known, now_us);
	if (known->len > 0)
		host->send_to_some(host->data, known, receivers);
	g_array_unref(known);
}

/* Applies the losses that another node, the source, knows. */
void loss_gossip_receive(struct loss_gossip *gossip, const GArray *losses,
			 const char *source, int64_t now_us)
{
	struct quarantine *quarantine = gossip->quarantine;

	for (guint i = 0; i < losses->len; i++) {
		const struct peer_loss *loss =
			&g_array_index(losses, struct peer_loss, i);
		bool was_held =
			quarantine_until_us(quarantine, loss->key, now_us) > 0;
		bool is_held;

		if (!quarantine_merge(quarantine, loss, now_us))
			continue;
		gossip->pace.changed_us = now_us;
		is_held =
			quarantine_until_us(quarantine, loss->key, now_us) > 0;
		if (was_held != is_held)
			gossip->host.changed(gossip->host.data, loss->key,
					     source);
	}
}
