#ifndef ADAPTERS_SETTINGS_HELP_H
#define ADAPTERS_SETTINGS_HELP_H

#include <glib.h>

G_BEGIN_DECLS

void settings_print_help(void);

G_END_DECLS

#endif
