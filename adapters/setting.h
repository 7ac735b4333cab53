#ifndef ADAPTERS_SETTING_H
#define ADAPTERS_SETTING_H

#include "adapters/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One key of the settings file: what it takes and where it is kept. */
enum setting_type {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_ADDRESS_LIST,
	SETTING_SECRET,
	SETTING_CHOICE,
	SETTING_INT32,
	SETTING_INT64,
	SETTING_MS,   /* kept in microseconds */
	SETTING_S,    /* kept in microseconds */
	SETTING_RATIO /* kept in hundredths */
};

enum setting_need {
	NEED_NOT,
	NEED_ALWAYS,
	NEED_WITHOUT_GATEWAY,
	NEED_WITHOUT_STORE /* a gateway may have the platform's store */
};

struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	enum setting_need need;
	size_t offset;
	int64_t min; /* numbers: value; secrets: length */
	int64_t max;
	const char *const *choices; /* the default first, NULL-terminated */
	const char *help;
};

size_t setting_count(void);
const struct setting *setting_at(size_t i);
const struct setting *setting_find(const char *section, const char *key);
void *setting_field(const struct setting *setting, struct settings *settings);
bool setting_is_text(const struct setting *setting);
bool setting_keeps_text(const struct setting *setting);
int64_t setting_get_number(const struct setting *setting,
			   struct settings *settings);
void setting_set_number(const struct setting *setting,
			struct settings *settings, int64_t value);
void setting_set_text(const struct setting *setting, struct settings *settings,
		      const char *text);
char *setting_expectation(const struct setting *setting);

G_END_DECLS

#endif
