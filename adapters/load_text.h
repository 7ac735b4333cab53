#ifndef ADAPTERS_LOAD_TEXT_H
#define ADAPTERS_LOAD_TEXT_H

#include "core/base/error.h"
#include "ports/load_report.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Parser for an endpoint's load report in the Prometheus text format. The
 * metrics' names are listed in docs/PROTOCOLS.md.
 */
bool load_text_parse(const char *text, size_t length,
		     struct load_report *report, struct error *error);

G_END_DECLS

#endif
