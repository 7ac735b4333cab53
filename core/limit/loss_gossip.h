#ifndef CORE_LIMIT_LOSS_GOSSIP_H
#define CORE_LIMIT_LOSS_GOSSIP_H

#include "core/limit/quarantine.h"

G_BEGIN_DECLS

/*
 * Exchanges with other nodes what a quarantine knows: news go to all nodes at
 * once, and all losses to random nodes again and again, since records may be
 * lost and nodes join.
 */
struct loss_gossip;

struct loss_gossip_host {
	/* Both copy the losses, which fit into one record. */
	void (*send_to_all)(void *data, const struct peer_loss *losses,
			    guint count);
	void (*send_to_some)(void *data, const GArray *losses,
			     size_t receivers);

	/* A suspect is seen in another way now; source: who found out. */
	void (*changed)(void *data, uint64_t key, const char *source);
	void *data;
};

struct loss_gossip *loss_gossip_create(struct quarantine *quarantine,
				       GRand *random,
				       const struct loss_gossip_host *host);
void loss_gossip_destroy(struct loss_gossip *gossip);
void loss_gossip_step(struct loss_gossip *gossip, int64_t now_us);
void loss_gossip_receive(struct loss_gossip *gossip, const GArray *losses,
			 const char *source, int64_t now_us);
void loss_gossip_add_known(const struct loss_gossip *gossip, GArray *losses,
			   int64_t now_us);

G_END_DECLS

#endif
