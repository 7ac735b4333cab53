#ifndef CORE_LIMIT_QUARANTINE_H
#define CORE_LIMIT_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Quarantine of requests that crash the endpoints they run on. A fingerprint
 * that was in flight when two different endpoints crashed is refused for a
 * time, so that a caller that sends it again does not crash one engine after
 * another.
 */
struct quarantine_options {
	int64_t suspect_us;  /* how long a crash is remembered */
	int64_t hold_us;     /* how long a fingerprint is refused */
	int32_t max_entries; /* limit of each: suspects, held */
};

struct quarantine;

void quarantine_options_default(struct quarantine_options *options);
struct quarantine *quarantine_create(const struct quarantine_options *options);
void quarantine_destroy(struct quarantine *quarantine);

bool quarantine_report_crash(struct quarantine *quarantine,
			     uint64_t fingerprint, const char *endpoint,
			     int64_t now_us);
void quarantine_report_success(struct quarantine *quarantine,
			       uint64_t fingerprint);
void quarantine_hold(struct quarantine *quarantine, uint64_t fingerprint,
		     int64_t now_us);

int64_t quarantine_until_us(const struct quarantine *quarantine,
			    uint64_t fingerprint, int64_t now_us);
bool quarantine_is_suspect(const struct quarantine *quarantine,
			   uint64_t fingerprint, int64_t now_us);
size_t quarantine_count(const struct quarantine *quarantine);

G_END_DECLS

#endif
