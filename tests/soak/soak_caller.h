#ifndef TESTS_SOAK_SOAK_CALLER_H
#define TESTS_SOAK_SOAK_CALLER_H

#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_schedule.h"
#include "tests/soak/soak_view.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * The callers of a run. Each is a thread that queries the directory for the
 * addresses of the nodes, sends requests of all kinds, and retries as the
 * rules for callers allow. In addition, one prober thread for each node
 * requests the routes that the newest versions of the configuration added and
 * removed.
 */
struct soak_callers;

struct soak_callers *soak_callers_create(const struct soak_schedule *schedule,
					 struct soak_view *view);
void soak_callers_send_poison(struct soak_callers *callers,
			      enum soak_fault_kind kind);
bool soak_callers_have_ended(struct soak_callers *callers);
void soak_callers_finish(struct soak_callers *callers,
			 struct soak_evidence *evidence);

G_END_DECLS

#endif
