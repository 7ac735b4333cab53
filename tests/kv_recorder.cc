#include "tests/kv_recorder.h"

#include <gtest/gtest.h>

static std::string text_of(GBytes *bytes)
{
	gsize size = 0;
	const char *data;

	if (!bytes)
		return "(none)";
	data = (const char *)g_bytes_get_data(bytes, &size);
	return data ? std::string(data, size) : "";
}

static kv_recorded_answer copy_of(const struct kv_answer *answer)
{
	kv_recorded_answer a = {answer->id,
				answer->outcome,
				answer->revision,
				answer->lease,
				answer->ttl_s,
				"",
				0,
				0};

	if (answer->entries && answer->entries->len) {
		const struct kv_entry *entry =
			(const struct kv_entry *)g_ptr_array_index(
				answer->entries, 0);

		a.value = text_of(entry->value);
		a.mod_revision = entry->mod_revision;
		a.count = answer->entries->len;
	}
	return a;
}

static void deliver(void *data, const struct event *event)
{
	struct kv_recorder *recorder = (struct kv_recorder *)data;

	EXPECT_FALSE(recorder->in_apply);
	if (event->type == EVENT_KV_WATCH) {
		recorder->changes.push_back({event->kv_watch.mod_revision,
					     text_of(event->kv_watch.value)});
		return;
	}
	ASSERT_EQ(EVENT_KV, event->type);
	recorder->answers.push_back(copy_of(event->kv));
}

struct event_sink kv_recorder::sink()
{
	return {deliver, this};
}
