#ifndef ADAPTERS_HTTP_METRICS_H
#define ADAPTERS_HTTP_METRICS_H

#include "core/base/counters.h"

#include <glib.h>

G_BEGIN_DECLS

/* The counters and histograms of a process in Prometheus text format. */
GBytes *http_metrics_text(const struct counters *counters);

G_END_DECLS

#endif
