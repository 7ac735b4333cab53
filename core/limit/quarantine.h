#ifndef CORE_LIMIT_QUARANTINE_H
#define CORE_LIMIT_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Requests that crash the endpoints they run on. A fingerprint that was in
 * flight at crashes of two different endpoints is refused for a time, so that
 * a caller who sends it again does not take down one engine after another.
 */
struct quarantine_options {
	int64_t suspect_us;  /* a crash is remembered for so long */
	int64_t hold_us;     /* a fingerprint is refused for so long */
	int32_t max_entries; /* of each kind: suspects and held */
};

struct quarantine;

void quarantine_options_default(struct quarantine_options *options);
struct quarantine *quarantine_create(const struct quarantine_options *options);
void quarantine_destroy(struct quarantine *quarantine);

/* True when this crash is the one that puts the fingerprint in quarantine. */
bool quarantine_report_crash(struct quarantine *quarantine,
			     uint64_t fingerprint, const char *endpoint,
			     int64_t now_us);
void quarantine_report_whole(struct quarantine *quarantine,
			     uint64_t fingerprint);
void quarantine_hold(struct quarantine *quarantine, uint64_t fingerprint,
		     int64_t now_us);

/* Time until which it is refused, in us; 0: not in quarantine. */
int64_t quarantine_until_us(const struct quarantine *quarantine,
			    uint64_t fingerprint, int64_t now_us);
bool quarantine_is_suspect(const struct quarantine *quarantine,
			   uint64_t fingerprint, int64_t now_us);
size_t quarantine_count(const struct quarantine *quarantine);

G_END_DECLS

#endif
