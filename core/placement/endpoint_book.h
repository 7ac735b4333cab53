#ifndef CORE_PLACEMENT_ENDPOINT_BOOK_H
#define CORE_PLACEMENT_ENDPOINT_BOOK_H

#include "core/placement/admission.h"
#include "core/placement/endpoint_health.h"
#include "core/placement/length_estimate.h"
#include "core/placement/pace.h"
#include "core/placement/wait_queue.h"
#include "ports/load_report.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The state of one endpoint in a placement: the calls granted to it, the
 * memory they are expected to need, its health and its last load report. A
 * report counts only where it shows more load than the book, because it
 * arrives late and may be wrong.
 */
struct endpoint_book;

/* A request known to a placement: waiting, or placed on an endpoint. */
struct placed_call {
	struct queue_entry entry; /* first: the queue returns it */
	uint64_t ticket;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t true_tokens;
	int64_t deadline_us;
	uint64_t prefix_hash;
	uint64_t avoid_hash;
	struct length_class *cls;

	struct endpoint_book *book; /* NULL while it waits */
	int64_t placed_us;
	int64_t output_tokens;	/* output tokens at the last progress */
	int64_t counted_tokens; /* tokens in the length estimate */
	int64_t progress_us;
	double charged_tokens; /* tokens charged to its organisation */
	struct admission_demand demand;
	int64_t demand_at_tokens; /* output tokens when demand was filled */
	int64_t demand_filled_us; /* when demand was filled */
};

struct endpoint_book {
	char *address;
	uint64_t hash;
	int64_t capacity_tokens;
	bool capacity_configured;
	int32_t slots;
	int32_t sharing_nodes; /* nodes assumed to have equally many calls */
	bool leaving;
	bool reported_leaving;
	GPtrArray *calls; /* struct placed_call */
	struct admission_load load;
	int64_t refreshed_us;
	int64_t unread_tokens;	 /* prompt tokens of calls without output */
	int64_t foreign_tokens;	 /* held for other nodes, from its reports */
	int64_t foreign_min;	 /* least excess in this report window */
	int32_t foreign_reports; /* reports in this window so far */
	struct pace pace;
	double interval_us;  /* between tokens, decaying average */
	int64_t progress_us; /* last new token of any call */
	struct endpoint_health health;
	struct load_report report; /* last one accepted */
	int64_t report_us;	   /* when it arrived; 0: never */
	GHashTable *prefixes;	   /* hash -> link in prefix_order */
	GQueue prefix_order;	   /* hashes, least recently set first */
};

/* What was done with a load report. */
enum report_result { REPORT_ACCEPTED, REPORT_OUTDATED, REPORT_IMPLAUSIBLE };

struct endpoint_book *endpoint_book_create(const char *address, int64_t step_us,
					   int64_t now_us);
void endpoint_book_destroy(struct endpoint_book *book);
void endpoint_book_add(struct endpoint_book *book, struct placed_call *call,
		       int64_t now_us);
void endpoint_book_remove(struct endpoint_book *book, struct placed_call *call);
void endpoint_book_record_progress(struct endpoint_book *book,
				   struct placed_call *call, int64_t tokens,
				   int64_t now_us);
void endpoint_book_refresh(struct endpoint_book *book, int64_t now_us);
double endpoint_book_peak(const struct endpoint_book *book,
			  const struct placed_call *extra,
			  const struct admission_margin *margin);
double endpoint_book_known_peak(const struct endpoint_book *book,
				const struct placed_call *extra,
				int64_t now_us);
enum report_result endpoint_book_apply_report(struct endpoint_book *book,
					      const struct load_report *report,
					      int64_t now_us,
					      int64_t *preempted);
void endpoint_book_set_prefix(struct endpoint_book *book, uint64_t prefix_hash,
			      bool cached);
bool endpoint_book_has_prefix(const struct endpoint_book *book,
			      uint64_t prefix_hash);
int64_t endpoint_book_estimate_tokens(const struct endpoint_book *book,
				      const struct placed_call *call,
				      int64_t now_us);

G_END_DECLS

#endif
