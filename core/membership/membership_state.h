#ifndef CORE_MEMBERSHIP_MEMBERSHIP_STATE_H
#define CORE_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "core/membership/member_table.h"
#include "core/membership/membership.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The state that the parts of the membership share. membership.c: creation,
 * timing and the public queries. membership_probe.c: probes and suspicions.
 * membership_gossip.c: outgoing messages and the records they carry.
 * membership_merge.c: merging of records that were received.
 * membership_receive.c: validation and handling of incoming messages.
 */

/* How long dead peers and replaced incarnations are kept. */
#define MEMBERSHIP_DEAD_TTL_US (900 * G_USEC_PER_SEC)
#define MEMBERSHIP_REJOIN_HEARTBEATS 25

enum probe_kind {
	PROBE_MEMBER,  /* the member is suspected if no answer arrives */
	PROBE_ADDRESS, /* learns which node is at an address, if any */
	PROBE_RELAY    /* indirect probe on behalf of another node */
};

struct probe {
	uint64_t number;
	enum probe_kind kind;
	uint64_t incarnation; /* PROBE_MEMBER: of the probed member */
	char *name;	      /* PROBE_MEMBER: of the probed member */
	char *address;
	char *requester; /* PROBE_RELAY: peer address */
	uint64_t requester_number;
	int64_t sent_us;
	int64_t indirect_us; /* time for indirect probes; INT64_MAX: none */
	int64_t fail_us;
};

struct membership {
	struct member_table *table;
	char **seeds;
	int64_t heartbeat_us;
	int64_t suspect_us;
	GRand *random;
	GPtrArray *probes; /* struct probe */
	GPtrArray *round;  /* char *: names still to be probed, last first */
	uint64_t next_number;
	int64_t now_us;
	int64_t next_heartbeat_us;
	int64_t next_due_us;
	int64_t next_join_us;
	int64_t last_received_us; /* last message from another node */
	int64_t last_quorum_us;
	int64_t rejection_logged_us;
	uint32_t heartbeat_count;
	uint32_t join_attempts;
	int32_t rejoin_probes_left;
	int32_t address_probes_left;
	bool started;
	bool announce_pending;	     /* the next step announces the own state */
	struct action_list *actions; /* set during a call that takes actions */
};

/* Which members to pick: of the own region, or of one or all other regions. */
struct pick {
	size_t max;
	bool own_region;
	const char *region; /* NULL: any other */
	const char *except; /* the name of a member to leave out, or NULL */
};

/* membership_gossip.c */
struct member *membership_own_record(const struct membership *membership);
bool membership_is_self(const struct membership *membership,
			const struct peer *peer);
bool peer_is_answering(const struct peer *peer);
void membership_pick(struct membership *membership, const struct pick *pick,
		     GPtrArray *picked);
void member_list_add(GPtrArray *members, const struct peer *peer);
bool membership_peer_is_new(const struct membership *membership,
			    const struct peer *peer);
void membership_add_gossip(struct membership *membership, const struct peer *to,
			   GPtrArray *members);
struct peer_message *
membership_create_message(const struct membership *membership,
			  enum peer_message_type type, uint64_t number,
			  const char *subject);
void membership_send(struct membership *membership, const char *address,
		     struct peer_message *message);
void membership_ping(struct membership *membership, const char *address,
		     uint64_t number, bool introduce);
void membership_announce(struct membership *membership);

/* membership_probe.c */
struct probe *membership_add_probe(struct membership *membership,
				   enum probe_kind kind, const char *address);
void membership_probe_address(struct membership *membership,
			      const char *address);
void membership_probe(struct membership *membership, const struct peer *peer);
struct probe *membership_find_probe(const struct membership *membership,
				    uint64_t number);
void membership_check_probes(struct membership *membership);
int64_t membership_suspect_timeout_us(const struct membership *membership,
				      const struct peer *peer);
void membership_log_dead(struct membership *membership, const struct peer *peer,
			 const char *by);
void membership_check_suspects(struct membership *membership);
void membership_probe_suspects(struct membership *membership);
struct peer *membership_next_target(struct membership *membership);
void membership_join(struct membership *membership);
void membership_rejoin(struct membership *membership);

/* membership_merge.c */
struct peer *membership_update_sender(struct membership *membership,
				      const struct peer_message *message,
				      bool *replaced);
void membership_refute(struct membership *membership,
		       const struct member *record);
void membership_merge_record(struct membership *membership,
			     const struct peer *sender,
			     const struct member *record);

/* membership.c */
bool membership_has_quorum(const struct membership *membership);
bool membership_is_alone_in_region(const struct membership *membership);
void membership_schedule(struct membership *membership);
void membership_raise_version(struct membership *membership, uint64_t above);

G_END_DECLS

#endif
