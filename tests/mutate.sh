# For sh: files that say how a source reads with and without something.

# What the file's head says of that name.
field() { # FILE NAME
	sed -n "s/^$2: //p;/^---/q" "$1"
}

# Writes the source without it; fails if a text is not there exactly once.
mutate() { # MUTANT SOURCE TARGET
	perl -e '
		use strict;
		local $/;
		my ($mutant, $source, $target) = @ARGV;
		open(my $m, "<", $mutant) or die;
		my ($head, @edits) = split(/^--- with\n/m, <$m>);
		open(my $s, "<", $source) or die;
		my $text = <$s>;
		die "no text to replace\n" unless @edits;
		for (@edits) {
			my ($old, $new) = split(/^--- without\n/m, $_, 2);
			my $count = () = $text =~ /\Q$old\E/g;
			die "text found $count times:\n$old" unless $count == 1;
			$text =~ s/\Q$old\E/$new/;
		}
		open(my $t, ">", $target) or die;
		print $t $text;' "$@"
}
