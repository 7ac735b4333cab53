#ifndef TESTS_SOAK_SOAK_EVIDENCE_H
#define TESTS_SOAK_SOAK_EVIDENCE_H

#include "tests/soak/soak_http.h"
#include "tests/soak/soak_schedule.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The records of a run: the attempts of the callers with their answers, the
 * journals of the engines, and the actions of the soak with their times. All
 * times are of CLOCK_MONOTONIC, in microseconds.
 */

#define SOAK_HOST "reports.example"
#define SOAK_KEY "caller-key-0001"

enum soak_kind {
	SOAK_KIND_IDEMPOTENT,
	SOAK_KIND_ONCE,
	SOAK_KIND_STREAM,
	SOAK_KIND_QUERY, /* a stream that may be resumed */
	SOAK_KIND_PROBE, /* of a route that a version added or removed */
	SOAK_KIND_POISON,
	SOAK_KIND_POISON_PLAIN,
	SOAK_KIND_POISON_PART, /* no two alike but for one part */
	SOAK_KINDS
};

/* Whether complete answers to requests of this kind are streams of events. */
bool soak_kind_is_stream(enum soak_kind kind);

/* Whether the requests of this kind end the endpoints that run them. */
bool soak_kind_is_poison(enum soak_kind kind);

/* One attempt of a caller, with a unique request id. */
struct soak_attempt {
	char *id;
	enum soak_kind kind;
	char *path;
	char *front;  /* the address it was sent to */
	bool on_kept; /* sent on a connection that had carried another one */
	/*
	 * When the last answer ended on a kept connection that was then found
	 * closed; 0: none was.
	 */
	int64_t closed_since_us;
	int64_t begun_us;
	int64_t sent_us; /* of its last byte; 0: not sent completely */
	int64_t ended_us;
	int64_t deadline_us;
	enum soak_end end;
	struct soak_answer *answer;
	int64_t after_event; /* of a query: the last one that the caller has */
	int32_t version;     /* of a probe: the version that added its route */
};

/* A line of an engine's journal. */
struct soak_entry {
	int64_t at_us;
	char event[16];
	char *request;
	char *engine;
	bool from_copy;
	int64_t first_event; /* with the event "run" */
	int64_t rest_us;     /* asked for, with the event "rest" */
};

/* One run of a process, from its start to its end. */
struct soak_life {
	char name[32];
	char *front;	   /* of a node; NULL: an engine */
	char *engine;	   /* id of an engine; NULL: a node */
	bool is_evacuated; /* an engine in the domain that is evacuated */
	int64_t from_us;
	int64_t to_us;	 /* 0: until the end of the run */
	int64_t term_us; /* of SIGTERM; 0: none was sent */
	bool was_killed; /* by the soak */
	int status;	 /* once it has ended; minus the signal if killed */
	int64_t peak_resident_bytes;
	int64_t peak_open_files;
	int64_t log_bytes;
	char *log_path;
};

/* A fault or an operator's action, with the time it lasted. */
struct soak_fault_record {
	enum soak_fault_kind kind;
	char who[32]; /* name of a process, "store", "nodes", "operator" */
	int64_t from_us;
	int64_t to_us; /* 0: until the end of the run */
};

/* A configuration, with the times it was sent and acknowledged by the store. */
struct soak_version {
	int32_t index;
	int64_t idle_us; /* for which connections may be idle */
	int64_t sent_us;
	int64_t acked_us;
};

/*
 * An engine that leaves; the store acknowledged its entry at acked_us, or the
 * engine says so in its answers only, from acked_us on.
 */
struct soak_leaving {
	char *engine;
	int64_t acked_us;
	bool is_by_answer;
};

/* A failure domain that the operator evacuated. */
struct soak_evacuation {
	int64_t acked_us;
	int64_t lifted_us; /* when its end was requested; 0: never */
};

struct soak_evidence {
	int64_t begun_us;
	int64_t load_end_us;
	int64_t ended_us;
	int64_t unix_offset_us; /* Unix time minus CLOCK_MONOTONIC */
	GPtrArray *attempts;	/* struct soak_attempt */
	GPtrArray *entries;	/* struct soak_entry, by time */
	GPtrArray *lives;	/* struct soak_life */
	GArray *fault_records;	/* struct soak_fault_record */
	GArray *versions;	/* struct soak_version */
	GArray *leavings;	/* struct soak_leaving */
	GArray *evacuations;	/* struct soak_evacuation */
	GPtrArray *failures;	/* char *: found by the soak itself */
};

struct soak_evidence *soak_evidence_create(void);
void soak_evidence_destroy(struct soak_evidence *evidence);
bool soak_evidence_read_journal(struct soak_evidence *evidence,
				const char *path, struct error *error);
void soak_evidence_sort(struct soak_evidence *evidence);
const struct soak_life *
soak_evidence_life_at(const struct soak_evidence *evidence, const char *front,
		      int64_t at_us);
const char *soak_kind_name(enum soak_kind kind);

struct soak_attempt *soak_attempt_create(enum soak_kind kind, const char *id,
					 const char *path, const char *front);
void soak_attempt_destroy(gpointer attempt);
int64_t soak_attempt_last_event(const struct soak_attempt *attempt);

G_END_DECLS

#endif
