#ifndef ADAPTERS_HTTP_METRICS_H
#define ADAPTERS_HTTP_METRICS_H

#include "core/base/counters.h"

#include <glib.h>

G_BEGIN_DECLS

/* Counters and histograms of a process as Prometheus reads them. */
GBytes *http_metrics_text(const struct counters *counters);

G_END_DECLS

#endif
