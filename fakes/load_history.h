#ifndef FAKES_LOAD_HISTORY_H
#define FAKES_LOAD_HISTORY_H

#include "ports/load_report.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A ring buffer of an engine's recent loads, for delayed load reports. */
struct load_history;

struct load_history *load_history_create(int64_t span_us);
void load_history_destroy(struct load_history *history);
void load_history_add(struct load_history *history,
		      const struct load_report *load, int64_t now_us);
bool load_history_find(const struct load_history *history, int64_t then_us,
		       struct load_report *load);
void load_history_clear(struct load_history *history);

G_END_DECLS

#endif
