#ifndef ADAPTERS_SETTING_H
#define ADAPTERS_SETTING_H

#include "adapters/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One key of the settings file: its accepted values and its field. */
enum setting_type {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_ADDRESS_LIST,
	SETTING_PAIR_LIST, /* of NAME=NAME */
	SETTING_SECRET,
	SETTING_CHOICE,
	SETTING_INT32,
	SETTING_INT64,
	SETTING_MS,   /* stored in microseconds */
	SETTING_S,    /* stored in microseconds */
	SETTING_RATIO /* stored in hundredths */
};

enum setting_required {
	REQUIRED_NEVER,
	REQUIRED_ALWAYS,
	REQUIRED_WITHOUT_GATEWAY,
	REQUIRED_WITHOUT_STORE /* unless a gateway uses the platform's store */
};

struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	enum setting_required required;
	size_t offset; /* of the field in struct settings */
	int64_t min;   /* numbers: value; secrets: length */
	int64_t max;
	const char *const *choices; /* the default first, NULL-terminated */
	const char *help;
};

size_t setting_count(void);
const struct setting *setting_at(size_t i);
const struct setting *setting_find(const char *section, const char *key);
void *setting_field(const struct setting *setting, struct settings *settings);
bool setting_is_list(const struct setting *setting);
bool setting_is_text(const struct setting *setting);
bool setting_stores_text(const struct setting *setting);
int64_t setting_get_number(const struct setting *setting,
			   struct settings *settings);
void setting_set_number(const struct setting *setting,
			struct settings *settings, double value);
void setting_set_text(const struct setting *setting, struct settings *settings,
		      const char *text);
char *setting_accepted_values(const struct setting *setting);

G_END_DECLS

#endif
