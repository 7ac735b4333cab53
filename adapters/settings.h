#ifndef ADAPTERS_SETTINGS_H
#define ADAPTERS_SETTINGS_H

#include "core/base/error.h"
#include "core/node/node.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* How small records go to other nodes; large ones always go by stream. */
enum peer_transport { PEER_TRANSPORT_DATAGRAMS, PEER_TRANSPORT_STREAMS };

/*
 * The settings file of a node, in TOML. The key of a quantity that has a
 * unit ends in the unit, and every key is checked. The settings own all
 * strings; the strings of node point into them.
 */
struct gateway_settings {
	char *address;		 /* for callers' requests; "": no gateway */
	char *ready_address;	 /* "" for none */
	char *directory_address; /* "" for none */
	char *store_address;	 /* the platform's metadata store */
	int64_t drain_us;	 /* from SIGTERM to SIGKILL */
	int64_t directory_ttl_us;
	int64_t retry_percent;
	int64_t retry_extra;
	int64_t home_from_nodes;
	int64_t warmup_excess_percent;
	int64_t warmup_slack;
	int64_t retry_window_us;
	int64_t max_answer_bytes; /* body of an endpoint's answer; 0: any */
};

struct settings {
	struct gateway_settings gateway;
	struct node_options node; /* incarnation and seed are not set here */
	char **domain_regions;	  /* DOMAIN=REGION, NULL-terminated */
	char *kv_address;
	char *vm_list_address; /* "" for none */
	char *operator_key;    /* "" disables the operators' API */
	char *log_level;       /* "info", "warn" or "error" */
	int64_t vm_list_poll_ms;
	int64_t max_header_bytes;
	int64_t max_body_bytes;	     /* of a caller's request */
	int64_t max_answer_bytes;    /* of a plain endpoint's answer */
	int64_t stream_buffer_bytes; /* buffered for a slow caller */
	int64_t max_connections;
	int64_t memory_mb;
	int64_t max_open_files; /* 0: only the system's limit */
	int64_t max_peer_record_bytes;
	enum peer_transport peer_transport;
	int64_t connect_timeout_ms;
};

struct settings *settings_create(void);
struct settings *settings_load(const char *path, struct error *error);
void settings_destroy(struct settings *settings);

G_END_DECLS

#endif
