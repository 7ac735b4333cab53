#ifndef TESTS_SOAK_SOAK_MEMBER_H
#define TESTS_SOAK_SOAK_MEMBER_H

#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_process.h"
#include "tests/soak/soak_proxy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A node or an endpoint of a run: its process, its names and addresses, and
 * the record of its current life. The state in which nodes see it is not kept
 * here.
 */
enum soak_role { SOAK_ROLE_NODE, SOAK_ROLE_ENGINE, SOAK_ROLE_PLAIN };

struct soak_member {
	enum soak_role role;
	int32_t index;
	char name[32];
	char ip[32];
	char id[32];		  /* of an endpoint or a node */
	char address[48];	  /* front of a node, or endpoint address */
	struct soak_proxy *proxy; /* in front of address; NULL: none */
	struct soak_proxy *store_proxy; /* from a node to the store */
	struct soak_process *process;
	struct soak_life *life; /* NULL: not running */
	bool is_paused;
	bool is_leaving;	   /* endpoint entry draining or deleted */
	bool starts_renamed;	   /* new name and address at the next start */
	bool starts_with_new_id;   /* at its address */
	char earlier_id[32];	   /* whose entry is still there; "": none */
	int64_t earlier_until_us;  /* when that entry expires */
	GPtrArray *deferred_modes; /* char *: sent once it resumes */
	int64_t born_ms;
	int64_t start_us;	  /* time of the next start; 0: none */
	int64_t exit_deadline_us; /* exit deadline after SIGTERM; 0: none */
	int64_t word_us;	  /* since when it says that it leaves; 0: no */
	int64_t next_silence_us;  /* it may fall silent again from then on */
};

struct soak_member *soak_member_create(enum soak_role role, int32_t index,
				       const char *folder);
void soak_member_destroy(gpointer member);
bool soak_member_rename(struct soak_member *member, int32_t generation,
			const char *ip, bool has_proxy, struct error *error);
void soak_member_renew_id(struct soak_member *member, int32_t generation);
const char *soak_member_connect_address(const struct soak_member *member);
bool soak_member_begin_life(struct soak_member *member, const char *const *argv,
			    struct soak_evidence *evidence,
			    struct error *error);
bool soak_member_end_life(struct soak_member *member);
void soak_member_kill(struct soak_member *member);
void soak_member_sample(struct soak_member *member);

G_END_DECLS

#endif
